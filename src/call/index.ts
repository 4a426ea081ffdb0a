/** Public surface of the call: what is asked, and what a caller is told. */
export {
	formatAttemptId,
	formatIngress,
	nextSequence,
	parseAttemptId,
	type AttemptId,
} from './attempt.js';
export {
	admissions,
	admitAttempt,
	cancelAttempt,
	cancellations,
	createAttemptTable,
	dispatchAttempt,
	finishAttempt,
	type Admission,
	type AttemptLimits,
	type AttemptTable,
	type Cancellation,
} from './attempt-table.js';
export {outcomes, type Outcome} from './outcome.js';
export {createRefusal, refusalKinds, type Refusal, type RefusalKind} from './refusal.js';
