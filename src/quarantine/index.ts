/** Public surface of the quarantine: requests that may crash the servers that run them. */
export {digestRequest, type DigestParts} from './digest.js';
export {
	clearSuspect,
	createQuarantine,
	defaultQuarantineLimits,
	findVerdict,
	noteVerdict,
	verdicts,
	type Quarantine,
	type QuarantineLimits,
	type Verdict,
} from './quarantine.js';
