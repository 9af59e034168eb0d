package fake

// The invariants that a Checker checks, by their names in its violations.
const (
	// invariantInvented: the service knows and runs only jobs that were submitted.
	invariantInvented = "invented"
	// invariantAcceptedUnfit: a job that can't run, or is incomplete, is not accepted.
	invariantAcceptedUnfit = "accepted_unfit"
	// invariantRefusedFit: a job that can run is not refused for good.
	invariantRefusedFit = "refused_fit"
	// invariantForgotten: an accepted job stays known, and requests about it are answered.
	invariantForgotten = "forgotten"
	// invariantWentBack: a terminal status is final, and cancellation was requested by a user.
	invariantWentBack = "went_back"
	// invariantOrphaned: a job that depends on a cancelled one becomes cancelled itself.
	invariantOrphaned = "orphaned"
	// invariantNotDone: a job is done only when all its tasks have completed.
	invariantNotDone = "not_done"
	// invariantRanTwice: a task runs on one machine at a time, unless its class allows more.
	invariantRanTwice = "ran_twice"
	// invariantTooEarly: a task starts only when all dependencies of its job are done.
	invariantTooEarly = "too_early"
	// invariantRanCancelled: no task runs long after its job's cancellation was confirmed.
	invariantRanCancelled = "ran_cancelled"
	// invariantRenewedWithoutStop: a response that renews a worker's lease stops the worker's
	// tasks of cancelled jobs.
	invariantRenewedWithoutStop = "renewed_without_stop"
	// invariantWrongPlace: the machine suits the job's constraints.
	invariantWrongPlace = "wrong_place"
	// invariantQuota: a team uses no more CPUs than its limit.
	invariantQuota = "quota"
	// invariantLeftWaiting: without faults, no job waits long while there is capacity for it.
	invariantLeftWaiting = "left_waiting"
)
