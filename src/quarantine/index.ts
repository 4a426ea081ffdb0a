/** Public API of the quarantine for requests that may crash the servers that run them. */
export {
	clearSuspicion,
	crashVerdicts,
	createCrashHistory,
	defaultCrashHistoryLimits,
	findCrashVerdict,
	recordCrash,
	recordProof,
	recordSuspicion,
	type Crash,
	type CrashHistory,
	type CrashHistoryLimits,
	type CrashVerdict,
} from './crash-history.js';
export {digestRequest, type DigestParts} from './digest.js';
export {
	clearSuspect,
	createQuarantine,
	defaultQuarantineLimits,
	findQuarantineStatus,
	recordQuarantineStatus,
	quarantineStatuses,
	type Quarantine,
	type QuarantineLimits,
	type QuarantineStatus,
} from './quarantine.js';
