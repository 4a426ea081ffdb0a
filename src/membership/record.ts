/**
 * The record of a member and the rule for merging updates into it. The detail (address, ports,
 * service) and the standing (alive, suspect, ...) are each a maximum over a total order, so
 * updates may arrive late, duplicated or in any order, and all nodes converge.
 */
import {memberStatuses, type Member, type MemberStatus} from './member.js';

/** Status of one incarnation of a node; the revision orders claims about it. */
export type Standing = {
	readonly incarnation: number;
	readonly revision: number;
	readonly status: MemberStatus;
};

/** A member with the revisions that decide which update of it is newer. */
export type MemberRecord = {
	/** The member as the API shows it, derived from the detail and the standing. */
	readonly member: Member;
	/** Revision at which the node itself last changed the detail. */
	readonly detailRevision: number;
	/** May be of a later incarnation than the detail if it arrived first. */
	readonly standing: Standing;
};

const statusRanks: Readonly<Record<MemberStatus, number>> = {
	[memberStatuses.alive]: 0,
	[memberStatuses.leaving]: 1,
	[memberStatuses.suspect]: 2,
	[memberStatuses.dead]: 3,
};

/**
 * Compares two standings of the same node.
 *
 * @returns positive when `left` replaces `right`, zero when they are equal
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
 * @param member the member as described by the node itself
 * @returns its record
 */
export function createRecord(member: Member): MemberRecord {
	const {incarnation, revision, status} = member;
	return {member, detailRevision: revision, standing: {incarnation, revision, status}};
}

/**
 * Builds a record from a detail and a standing. A standing of a later incarnation proves that
 * the incarnation of the detail is dead.
 *
 * @param member the member with the detail
 * @param detailRevision revision of that detail
 * @param standing standing of the same incarnation or a later one
 * @returns the record, with the status of the member derived from both
 */
export function combineRecord(
	member: Member,
	detailRevision: number,
	standing: Standing,
): MemberRecord {
	const isSameIncarnation = standing.incarnation === member.incarnation;
	const status = isSameIncarnation ? standing.status : memberStatuses.dead;
	const revision = isSameIncarnation ? standing.revision : detailRevision;
	if (member.status === status && member.revision === revision) {
		return {member, detailRevision, standing};
	}

	return {member: {...member, status, revision}, detailRevision, standing};
}

/**
 * Merges a received record into the current one.
 *
 * @param current the current record of the node
 * @param incoming the received record of the same node
 * @returns `current` itself when nothing is newer, otherwise the merged record
 */
export function mergeRecord(current: MemberRecord, incoming: MemberRecord): MemberRecord {
	const detailOrder =
		incoming.member.incarnation - current.member.incarnation ||
		incoming.detailRevision - current.detailRevision;
	const isDetailNewer = detailOrder > 0;
	const isStandingNewer = compareStandings(incoming.standing, current.standing) > 0;
	if (!isDetailNewer && !isStandingNewer) {
		return current;
	}

	const detail = isDetailNewer ? incoming : current;
	const standing = isStandingNewer ? incoming.standing : current.standing;
	return combineRecord(detail.member, detail.detailRevision, standing);
}

/**
 * Merges a received standing into the current record.
 *
 * @param current the current record of the node
 * @param standing the received standing of the same node
 * @returns `current` itself when the standing is not newer, otherwise the merged record
 */
export function mergeStanding(current: MemberRecord, standing: Standing): MemberRecord {
	if (compareStandings(standing, current.standing) <= 0) {
		return current;
	}

	return combineRecord(current.member, current.detailRevision, standing);
}
