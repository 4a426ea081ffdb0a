/** Public API of the binding, by which a request with an idempotency key runs at most once. */
export {
	advanceBinding,
	startBinding,
	type Binding,
	type BindingEvent,
	type BindingProgress,
	type BindingResult,
	type BindingRules,
	type BindingStep,
	type EndedHome,
	type VersionedBinding,
} from './binding.js';
export {decodeBinding, encodeBinding} from './binding-row.js';
export {
	createWriteBudget,
	defaultFleetWritesPerSecond,
	recordWriteResult,
	takeWriteToken,
	type WriteBudget,
	type WriteBudgetLimits,
} from './write-budget.js';
export {
	closingRowKey,
	decodeClosing,
	encodeClosing,
	findExecutionOutcome,
	executionOutcomes,
	type ClosingRecord,
	type EndedKey,
	type ExecutionOutcome,
} from './closing.js';
export {fingerprintRequest, type RequestParts} from './fingerprint.js';
export {
	formatHome,
	isSameHome,
	parseHome,
	routeKey,
	keyRoutes,
	type AddressedHome,
	type Home,
	type KeyRoute,
} from './home.js';
export {
	checkScope,
	issueKey,
	keyErrorKinds,
	hasIssuedKeyPrefix,
	appendKeyNumber,
	verifyIssuedKey,
	type IssuedKey,
	type IssueRequest,
	type KeyError,
	type KeyErrorKind,
	type KeyScope,
	type KeySecrets,
} from './issued-key.js';
export {
	beginClosing,
	claimKey,
	claimKinds,
	createLedger,
	defaultLedgerLimits,
	finishClosing,
	ledgerPhases,
	markAnswered,
	markDispatched,
	markLost,
	markNotRun,
	type Claim,
	type ClaimKind,
	type ClosedKeys,
	type KeptAnswer,
	type KeyedRequest,
	type Ledger,
	type LedgerLimits,
	type LedgerPhase,
} from './ledger.js';
export {
	refuseClaim,
	refuseInvalidKey,
	refuseUnbound,
	refuseUndecided,
	type RefusedClaim,
	type UnboundResult,
	type KeyRefusal,
} from './refusal.js';
