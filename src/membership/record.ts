/**
 * What a node holds of a member, and the rule by which news replaces it. The detail (how the
 * node is reached) and the standing (alive, suspect, ...) are each a maximum over a total
 * order, so news may arrive in any order, twice or late, and every node ends with the same.
 */
import {memberStatuses, type Member, type MemberStatus} from './member.js';

/** Whether a life of a node is held to be alive. */
export type Standing = {
	readonly incarnation: number;
	readonly revision: number;
	readonly status: MemberStatus;
};

/** A member with the revisions that decide which news of it is newer. */
export type MemberRecord = {
	/** The member as others see it, derived from the detail and the standing. */
	readonly member: Member;
	/** Revision at which the detail was last changed by the node itself. */
	readonly detailRevision: number;
	/** May be of a later life than the detail, when its news came first. */
	readonly standing: Standing;
};

const statusRanks: Readonly<Record<MemberStatus, number>> = {
	[memberStatuses.alive]: 0,
	[memberStatuses.leaving]: 1,
	[memberStatuses.suspect]: 2,
	[memberStatuses.dead]: 3,
};

/**
 * Orders standings of one node.
 *
 * @param left one standing
 * @param right another standing
 * @returns positive when `left` replaces `right`, zero when they are the same
 */
export function compareStandings(left: Standing, right: Standing): number {
	return (
		left.incarnation - right.incarnation ||
		left.revision - right.revision ||
		statusRanks[left.status] - statusRanks[right.status]
	);
}

/**
 * Creates a record in which the detail and the standing agree.
 *
 * @param member the member as the node itself describes it
 * @returns its record
 */
export function createRecord(member: Member): MemberRecord {
	const {incarnation, revision, status} = member;
	return {member, detailRevision: revision, standing: {incarnation, revision, status}};
}

/**
 * Joins a detail and a standing into a record. News of a later life proves that the life of
 * the detail has ended.
 *
 * @param member how the node is reached
 * @param detailRevision revision of that detail
 * @param standing standing of this life or a later one
 * @returns the record whose member shows both
 */
export function combineRecord(
	member: Member,
	detailRevision: number,
	standing: Standing,
): MemberRecord {
	const isSameLife = standing.incarnation === member.incarnation;
	const status = isSameLife ? standing.status : memberStatuses.dead;
	const revision = isSameLife ? standing.revision : detailRevision;
	if (member.status === status && member.revision === revision) {
		return {member, detailRevision, standing};
	}

	return {member: {...member, status, revision}, detailRevision, standing};
}

/**
 * Merges a whole record into the one held.
 *
 * @param held what is held of the node
 * @param news what arrived of the same node
 * @returns `held` itself when nothing is newer, otherwise the merged record
 */
export function mergeRecord(held: MemberRecord, news: MemberRecord): MemberRecord {
	const detailOrder =
		news.member.incarnation - held.member.incarnation ||
		news.detailRevision - held.detailRevision;
	const isDetailNewer = detailOrder > 0;
	const isStandingNewer = compareStandings(news.standing, held.standing) > 0;
	if (!isDetailNewer && !isStandingNewer) {
		return held;
	}

	const detail = isDetailNewer ? news : held;
	const standing = isStandingNewer ? news.standing : held.standing;
	return combineRecord(detail.member, detail.detailRevision, standing);
}

/**
 * Merges a standing into the record held.
 *
 * @param held what is held of the node
 * @param standing what arrived of the same node
 * @returns `held` itself when the standing is not newer, otherwise the merged record
 */
export function mergeStanding(held: MemberRecord, standing: Standing): MemberRecord {
	if (compareStandings(standing, held.standing) <= 0) {
		return held;
	}

	return combineRecord(held.member, held.detailRevision, standing);
}
