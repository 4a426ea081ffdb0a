/** Public API of teams: who a caller is by its key, and where its requests may run. */
export {combineHomes, isHome, type Homes} from './homes.js';
export {
	createTeamIndex,
	identifyCaller,
	type CallerClaim,
	type Identification,
	type TeamIndex,
} from './identification.js';
