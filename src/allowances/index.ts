/** Public API of allowances: how the nodes divide what a team may use, so that its cap holds over all. */
export type {MemberView} from './allocator-choice.js';
export {chooseReturn, type AllowanceGrant, type AllowanceQuestion} from './allocator.js';
export {
	computeGrantLimit,
	computeGrantSpan,
	computeLimit,
	computeTokenLifetime,
	computeUnbackedTime,
	type Cap,
} from './limits.js';
export {elapsedBetween, type Moment} from './moment.js';
export {
	addTokens,
	createNodeAllowance,
	createQuestion,
	markReported,
	markReturned,
	noteSilence,
	returnToken,
	tryPassUnbacked,
	trySpendToken,
	type NodeAllowance,
} from './node-allowance.js';
export {
	addUses,
	countUses,
	createSlidingWindow,
	fillEvenly,
	takeBack,
	timeUntilLevel,
	type SlidingWindow,
} from './sliding-window.js';
export {
	createTeamAllocators,
	type CappedTeam,
	type TeamAllocators,
} from './team-allocators.js';
