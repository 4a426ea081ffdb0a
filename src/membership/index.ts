/** Public surface of membership: who lives, who leaves, and where they stand. */
export {memberStatuses, type Member, type MemberStatus} from './member.js';
