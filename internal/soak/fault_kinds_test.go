package soak

// faultKind is a kind of fault. Its text describes the fault in the logged schedule.
type faultKind string

const (
	killController      faultKind = "a controller is killed"
	killAllControllers  faultKind = "all controllers are killed"
	killLeaders         faultKind = "each new leader is killed"
	suspendController   faultKind = "a controller is suspended"
	cutStore            faultKind = "a controller loses the key-value store"
	cutPeers            faultKind = "a controller loses the other controllers"
	cutAgents           faultKind = "a controller loses the agents"
	cutAllButAgents     faultKind = "a controller loses all but the agents"
	storeOutage         faultKind = "the key-value store is unavailable"
	slowStore           faultKind = "the key-value store is slow"
	lateWrites          faultKind = "transactions get no response and are applied late"
	lostResponses       faultKind = "transactions get no response"
	lostCommands        faultKind = "commands are lost"
	lateCommands        faultKind = "commands are delayed"
	duplicateCommands   faultKind = "commands are duplicated"
	repeatedCommands    faultKind = "commands that were answered arrive again later"
	cloudOutage         faultKind = "the cloud is unavailable"
	hungMachines        faultKind = "machines hang"
	inboundCut          faultKind = "machines receive nothing"
	outboundCut         faultKind = "machines reach no controller"
	rebootedMachines    faultKind = "machines reboot"
	terminatedMachines  faultKind = "machines are terminated"
	duplicateHeartbeats faultKind = "heartbeats are duplicated and the copies delayed"
	replayedHeartbeats  faultKind = "old heartbeats are replayed to every controller"
	cancelJobs          faultKind = "users cancel many jobs at once"
	lostWatches         faultKind = "watches get no response"
	lateWatches         faultKind = "responses to watches are late"
	lostReads           faultKind = "reads and listings get no response"
	lateReads           faultKind = "responses to reads and listings are late"
)

// faultKinds are the kinds that schedules are drawn from. Kinds that have led to violations before
// are listed twice, so that they are drawn twice as often.
var faultKinds = []faultKind{
	killController, killController, killAllControllers, killLeaders, killLeaders, suspendController,
	cutStore, cutPeers, cutAgents, cutAllButAgents,
	storeOutage, slowStore, lateWrites, lostResponses,
	lostCommands, lateCommands, duplicateCommands,
	cloudOutage, cloudOutage,
	hungMachines, hungMachines, inboundCut, outboundCut, rebootedMachines, terminatedMachines,
	duplicateHeartbeats, replayedHeartbeats,
	cancelJobs, cancelJobs,
}

// readFaultKinds are the kinds of faults of the key-value store's reads and watches. They are drawn in
// addition to faultKinds.
var readFaultKinds = []faultKind{lostWatches, lostWatches, lateWatches, lostReads, lateReads}
