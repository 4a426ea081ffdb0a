/** How old a node's knowledge of the routes provably is, and when to ask for a newer proof. */
export {
	chooseQuestionLimit,
	nextPeerQuestionAt,
	nextTableQuestionAt,
	proofRoles,
	type ProofRole,
} from './asking.js';
export {
	ageOfProof,
	createProvenRoutes,
	isNewer,
	isProvenRecent,
	lacksBound,
	newestProofAt,
	noteVersion,
	provenAtLocally,
	recordAnswer,
	recordExchange,
	recordProof,
	type ProofLimits,
	type ProvenRoutes,
	type RoutesProof,
} from './proven-routes.js';
export {latestTime} from './store-clock.js';
export {
	createSuspendedClock,
	readSuspendedClock,
	type ClockReading,
	type SuspendedClock,
} from './suspended-clock.js';
