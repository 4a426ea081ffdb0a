/** Public API of calls: request heads, attempts, outcomes and refusals. */
export {
	formatAttemptId,
	formatIngress,
	nextSequence,
	parseAttemptId,
	type AttemptId,
} from './attempt.js';
export {
	admissionResults,
	admitAttempt,
	cancelAttempt,
	cancellationResults,
	createAttemptTable,
	dispatchAttempt,
	finishAttempt,
	type AdmissionResult,
	type AttemptTableLimits,
	type AttemptTable,
	type CancellationResult,
} from './attempt-table.js';
export {
	attemptResultKinds,
	isBuffered,
	type AttemptAnswered,
	type AttemptLost,
	type AttemptRefused,
	type AttemptRequest,
	type AttemptResult,
	type Body,
	type RunningAttempt,
} from './attempt-request.js';
export {
	parseCallHead,
	type CallHead,
	type CallPolicy,
	type ReceivedHead,
} from './head.js';
export {
	copyEndToEndHeaders,
	findHeader,
	headerNames,
	type HeaderList,
} from './headers.js';
export {
	decideOutcome,
	decideNextStep,
	maximumAttempts,
	nextStepKinds,
	type CallProgress,
	type NextStep,
} from './next-step.js';
export {outcomes, type Outcome} from './outcome.js';
export {
	createRefusal,
	parseRefusal,
	refusalKinds,
	type Refusal,
	type RefusalKind,
} from './refusal.js';
