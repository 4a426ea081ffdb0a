/** Public API of membership: the members with their status and address, and gossiped data. */
export {memberStatuses, type Member, type MemberStatus} from './member.js';
export {
	type AnnouncementListener,
	type MemberListener,
	type Membership,
	type MembershipError,
	type MembershipOptions,
	type SelfDescription,
	type ProofListener,
	type VersionListener,
} from './membership.js';
export {type Address, type TopicProof} from './message.js';
export {defaultParameters, type MembershipParameters} from './parameters.js';
export {isIsolated, isPoller} from './pollers.js';
export {createSeedTable, type SeedTable} from './seed-table.js';
export {seedRowsPerFailureDomain, type SeedRow} from './seeds.js';
export {type SelfPatch} from './state.js';
export {createMembership} from './task.js';
export {type CreateTransport, type Transport} from './transport.js';
