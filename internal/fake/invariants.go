package fake

// The names of the invariants in a Checker's violations. Each name says how its invariant is
// violated; the comment above it states the invariant.
const (
	// The service knows and runs only jobs that were submitted.
	invariantInvented = "invented"
	// A job that can never run, or is incomplete, is not accepted.
	invariantAcceptedUnfit = "accepted_unfit"
	// A job that can run is not rejected with a final response.
	invariantRefusedFit = "refused_fit"
	// An accepted job remains known, and requests about it are answered within MaxUnanswered
	// when there are no faults.
	invariantForgotten = "forgotten"
	// A terminal status never changes, and a job is cancelled only if a user requested the
	// cancellation of the job or of one of its dependencies.
	invariantWentBack = "went_back"
	// A job that depends on a cancelled job becomes cancelled within CancelDeadline.
	invariantOrphaned = "orphaned"
	// A job is reported as done only when all its tasks have completed.
	invariantNotDone = "not_done"
	// A task runs on one machine at a time, unless RetryAllowed permits more for its job's
	// class.
	invariantRanTwice = "ran_twice"
	// A task starts only when all tasks of its job's dependencies have completed.
	invariantTooEarly = "too_early"
	// No task runs longer than CancelDeadline after its job's cancellation was confirmed.
	invariantRanCancelled = "ran_cancelled"
	// A heartbeat response that renews an agent's lease stops the tasks of cancelled jobs that
	// the heartbeat lists.
	invariantRenewedWithoutStop = "renewed_without_stop"
	// A task runs on a machine that meets its job's constraints.
	invariantWrongPlace = "wrong_place"
	// A team uses no more CPUs than its limit.
	invariantQuota = "quota"
	// When there are no faults, no job waits longer than MaxWaiting while there is capacity for
	// it.
	invariantLeftWaiting = "left_waiting"
)
