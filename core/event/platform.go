package event

// The events of the owner of the pools, its executors and their VMs (601 to
// 699), and of the processes on entry VMs (701 to 799).
const (
	JobAccepted           Number = 601
	JobRefused            Number = 602
	JobCancelled          Number = 603
	RunStarted            Number = 604
	RunEnded              Number = 605
	StartAnswered         Number = 606
	RunLost               Number = 607
	RunAdopted            Number = 608
	RunNotWanted          Number = 609
	RunVacated            Number = 610
	JobSucceeded          Number = 611
	JobFailed             Number = 612
	RunStraggles          Number = 613
	TaskGivenUp           Number = 614
	TaskWaits             Number = 615
	JobUnstorable         Number = 616
	JobRunsStopped        Number = 617
	RestartDelayed        Number = 618
	CrashPresumed         Number = 619
	ExecutorSilent        Number = 621
	ExecutorAnswers       Number = 622
	ExecutorAvoided       Number = 623
	ExecutorReborn        Number = 624
	ExecutorRemoved       Number = 625
	ExecutorLost          Number = 626
	ExecutorResized       Number = 627
	EndsWithheld          Number = 628
	ExecutorUndescribed   Number = 629
	ExecutorDescribed     Number = 630
	MoveOrdered           Number = 631
	UpkeepOrdered         Number = 632
	VMOrderAnswered       Number = 633
	WaveAsked             Number = 634
	WaveSucceeded         Number = 635
	PoolPlanned           Number = 636
	RecoveryEnded         Number = 637
	EstimatesLearnt       Number = 641
	EstimatesLoaded       Number = 642
	EstimatesDropped      Number = 643
	RunTimeOdd            Number = 644
	ExecutorSlow          Number = 645
	ShareInvalid          Number = 646
	PlaceSetAside         Number = 647
	PlaceGivenBack        Number = 648
	SubmissionRefused     Number = 701
	SubmissionUncertain   Number = 702
	StateUnknown          Number = 703
	CancelUncertain       Number = 704
	CallUnanswered        Number = 705
	CallLate              Number = 706
	RequestNotAllowed     Number = 707
	OwnerDeposed          Number = 711
	OwnerRecordFault      Number = 712
	OwnerSeen             Number = 713
	ClaimFailed           Number = 714
	OwnershipBegun        Number = 715
	OwnershipEnded        Number = 716
	LeaseNotRenewed       Number = 717
	WriteUnanswered       Number = 718
	OwnerYields           Number = 719
	StoreLost             Number = 721
	StoreRegained         Number = 722
	LongPollRerouted      Number = 730
	OutageBridged         Number = 720
	ConfigurationLost     Number = 723
	ConfigurationRegained Number = 724
	OperatorEntrySkipped  Number = 725
	ConfigurationInForce  Number = 726
	ExecutorEntrySkipped  Number = 727
	VMListFailed          Number = 728
	AdviceFailed          Number = 729
	ProcessStarted        Number = 731
	ProcessStopping       Number = 732
	ProcessStopped        Number = 733
	ConnectionsLeft       Number = 734
	SettingsFault         Number = 735
	SettingsChanged       Number = 736
	SettingsSame          Number = 737
	LinesDropped          Number = 738
	PanicIsolated         Number = 739
	LinkFault             Number = 741
	LinkClosed            Number = 742
	LinkLost              Number = 743
	CarrierJoined         Number = 744
	CarrierLost           Number = 745
	OrderTooOld           Number = 746
	RecordSkipped         Number = 747
	EndedJobsLoaded       Number = 748
	WriteRejected         Number = 749
	ConnectionsClosed     Number = 751
	RequestsRefused       Number = 752
	ConnectionsDiscarded  Number = 761
	VMSpeedChanged        Number = 762
)

func init() {
	for n, text := range map[Number]string{
		JobAccepted:           "a job is stored and accepted",
		JobRefused:            "a job was refused; this call never starts it",
		JobCancelled:          "a caller cancelled a job",
		RunStarted:            "a start order was sent",
		RunEnded:              "an executor listed the end of a run",
		StartAnswered:         "a start order was refused or got no answer",
		RunLost:               "a run can no longer be in progress",
		RunAdopted:            "a run of an earlier owner continues under this one",
		RunNotWanted:          "an executor has a run that it should not have and is ordered to stop it",
		RunVacated:            "a service run is stopped to free a VM for its maintenance",
		JobSucceeded:          "all tasks of a job are done",
		JobFailed:             "a job failed: one of its tasks failed as often as its queue allows",
		RunStraggles:          "a run that makes no or too little progress is stopped to run elsewhere",
		TaskGivenUp:           "a task is given up since it crashes the executors that start it",
		TaskWaits:             "the service task that has waited longest for an executor of a pool, and why it does not start",
		JobUnstorable:         "the store does not take the records of a job; a new job is refused, an accepted one fails",
		JobRunsStopped:        "the runs of a job that has ended are ordered to stop",
		RestartDelayed:        "a service task under which executors crashed waits before it starts again in isolation",
		CrashPresumed:         "a crash is counted under a suspected task that the earlier owner may have started: no executor has the run",
		ExecutorSilent:        "an executor does not answer",
		ExecutorAnswers:       "an executor answers again",
		ExecutorAvoided:       "an executor that failed runs gets no work for a while",
		ExecutorReborn:        "an executor has a new incarnation",
		ExecutorRemoved:       "an executor that is no longer listed was forgotten",
		ExecutorLost:          "an executor ended or stayed out of reach with runs in progress",
		ExecutorResized:       "an executor offers more or less capacity than before",
		EndsWithheld:          "an executor has more ends than it lists at a time, or lists all of them again",
		ExecutorUndescribed:   "an executor gets no new work until the entry of the incarnation that answers has been read",
		ExecutorDescribed:     "the entry of an executor's present incarnation was read",
		MoveOrdered:           "a VM was ordered to move to another pool",
		UpkeepOrdered:         "the maintenance of a VM was ordered",
		VMOrderAnswered:       "an order for a VM was answered or got no answer",
		WaveAsked:             "operators requested a wave of maintenance",
		WaveSucceeded:         "all VMs of a wave have had their maintenance",
		PoolPlanned:           "the VMs of a pool compared with the need of its work",
		RecoveryEnded:         "recovery ended: no order of an earlier owner can still take effect unnoticed",
		EstimatesLearnt:       "what was learnt of the run times of a queue, compared with what its callers say",
		EstimatesLoaded:       "what earlier owners have learnt of run times is known",
		EstimatesDropped:      "what an earlier owner has stored of run times cannot be used; run times are learnt anew",
		RunTimeOdd:            "the run time of a task is beyond what is believed, and counts as less",
		ExecutorSlow:          "several runs of different jobs are much slower on an executor than expected, or no more",
		ShareInvalid:          "the weight of a team cannot be used as it is; another one is used",
		PlaceSetAside:         "places are set aside for tasks that have waited long for room that smaller work would take",
		PlaceGivenBack:        "places that were set aside are given back",
		SubmissionRefused:     "a submission was refused because no owner could be reached or could process it",
		SubmissionUncertain:   "it is not known whether a submission was accepted",
		StateUnknown:          "a job's state could be read neither from the owner nor from the store",
		CancelUncertain:       "it is not known whether a job was cancelled",
		CallUnanswered:        "the owner did not answer a caller's request, which may still take effect; it is sent again while its caller waits",
		RequestNotAllowed:     "a request was refused since the configuration in force names no such queue or key",
		CallLate:              "a caller's request reached this owner late or more than once",
		OwnerDeposed:          "this owner detected a later owner and stops",
		OwnerRecordFault:      "the owner's record in the store cannot be read",
		OwnerSeen:             "the store names another owner",
		ClaimFailed:           "this node could not become the owner",
		OwnershipBegun:        "this node owns the pools",
		OwnershipEnded:        "this node no longer owns the pools",
		LeaseNotRenewed:       "the renewal of the owner's lease got no answer",
		WriteUnanswered:       "a write to the store got no answer and is retried",
		OwnerYields:           "the owner hands over the pools to a VM that can serve them better",
		StoreLost:             "the store does not serve this node; it asks its peers",
		OutageBridged:         "the peers' confirmation of a store outage changed: runs continue only while all confirm it",
		StoreRegained:         "the store serves this node again",
		LongPollRerouted:      "a watch of the store was answered over another path than the first, which was late or failed",
		ConfigurationLost:     "the operators' changes cannot be read",
		ConfigurationRegained: "the operators' changes can be read again",
		OperatorEntrySkipped:  "an operator's entry cannot be decoded and is ignored",
		ConfigurationInForce:  "a configuration version took effect on this node",
		ExecutorEntrySkipped:  "an executor's entry cannot be decoded and is ignored",
		VMListFailed:          "the platform's list of VMs got no answer",
		AdviceFailed:          "the advice service got no answer",
		ProcessStarted:        "the process is ready to serve",
		ProcessStopping:       "the process is shutting down gracefully",
		ProcessStopped:        "the process has stopped",
		ConnectionsLeft:       "connections were still open when the shutdown time ended",
		SettingsFault:         "the settings file cannot be read; the current settings stay in effect",
		SettingsChanged:       "the settings file changed; it takes effect at the next start",
		SettingsSame:          "the settings file was read again and is unchanged",
		LinesDropped:          "lines of an event were dropped because of the limit per second",
		PanicIsolated:         "an unexpected error was confined to one message or request; the stack tells where",
		LinkFault:             "a link between a node and the owner could not be opened, or a message on it could not be read",
		LinkClosed:            "the link of a node to this owner ended",
		LinkLost:              "this node's link to the owner ended or could not be opened; it links again",
		CarrierJoined:         "a node linked to this owner and may carry its orders",
		CarrierLost:           "a node carries no more orders; the outcome of those that it had is unknown",
		OrderTooOld:           "an order was not sent to its executor since it had become too old on its way",
		RecordSkipped:         "a stored record cannot be read and is skipped",
		EndedJobsLoaded:       "the owner knows all jobs that ended under earlier owners",
		ConnectionsDiscarded:  "a call on a kept connection got no answer; the idle connections to the same address that brought nothing since are closed",
		VMSpeedChanged:        "this VM computes at less than half of its usual speed, or no longer does",
		WriteRejected:         "the store rejects a record for its form or size; its job is refused or fails, and all other writes go on",
		ConnectionsClosed:     "connections were closed whose clients did not use them in time, or to make room for others",
		RequestsRefused:       "requests were refused since there is no memory for them",
	} {
		Catalogue[n] = text
	}
}

// warnings holds the events that are logged as warnings, in addition to
// violations: an operator should look at each of them.
var warnings = map[Number]bool{
	RunLost:              true,
	ConnectionsClosed:    true,
	RequestsRefused:      true,
	ExecutorLost:         true,
	RecordSkipped:        true,
	TaskGivenUp:          true,
	TaskWaits:            true,
	RestartDelayed:       true,
	JobUnstorable:        true,
	RunNotWanted:         true,
	RunStraggles:         true,
	ExecutorSilent:       true,
	ExecutorAvoided:      true,
	ExecutorSlow:         true,
	EstimatesDropped:     true,
	ShareInvalid:         true,
	SubmissionUncertain:  true,
	StateUnknown:         true,
	CancelUncertain:      true,
	OwnerDeposed:         true,
	OwnerRecordFault:     true,
	ClaimFailed:          true,
	LeaseNotRenewed:      true,
	WriteUnanswered:      true,
	WriteRejected:        true,
	StoreLost:            true,
	ConfigurationLost:    true,
	OperatorEntrySkipped: true,
	ExecutorEntrySkipped: true,
	VMListFailed:         true,
	AdviceFailed:         true,
	ConnectionsLeft:      true,
	SettingsFault:        true,
	LinesDropped:         true,
	PanicIsolated:        true,
	LinkFault:            true,
	LinkLost:             true,
	CarrierLost:          true,
	OrderTooOld:          true,
}

// IsWarning reports whether the event is logged as a warning.
func (n Number) IsWarning() bool { return warnings[n] || n.IsViolation() }
