/** Public surface of the binding: a key that must not repeat runs at most once. */
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
} from './bind.js';
export {decodeBinding, encodeBinding} from './binding-row.js';
export {
	createClaimBudget,
	defaultFleetWritesPerSecond,
	noteWrite,
	takeWrite,
	type ClaimBudget,
	type ClaimBudgetLimits,
} from './claim-budget.js';
export {
	closingRowKey,
	decodeClosing,
	encodeClosing,
	fateOfKey,
	fates,
	type Closing,
	type EndedKey,
	type Fate,
} from './closing.js';
export {fingerprintRequest, type RequestParts} from './fingerprint.js';
export {
	formatHome,
	isSameHome,
	parseHome,
	routeKey,
	routes,
	type AddressedHome,
	type Home,
	type Route,
} from './home.js';
export {
	checkScope,
	issueKey,
	keyErrorKinds,
	looksIssued,
	numberKey,
	readIssuedKey,
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
	judgeClaim,
	judgeKeyError,
	judgeUnbound,
	judgeUndecided,
	type RefusedClaim,
	type UnboundResult,
	type Verdict,
} from './verdict.js';
