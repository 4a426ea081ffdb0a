/** Applies records and standings received from other nodes, or verifies them by a probe first. */
import {enqueueRumour} from './rumour-queue.js';
import {memberStatuses} from './member.js';
import {
	compareStandings,
	combineRecord,
	mergeRecord,
	mergeStanding,
	type MemberRecord,
	type Standing,
} from './record.js';
import {refute} from './self.js';
import {type EventContext} from './state.js';
import {isAliveOrLeaving, replaceRecord} from './suspicion.js';

/**
 * Applies a received record.
 *
 * @param context context of the event
 * @param incoming the received record
 * @param isGossip true for gossip, which is accepted without a probe and gossiped on when newer;
 * false for a record of a sync page
 * @returns whether it was newer than the current record
 */
export function applyRecord(
	context: EventContext,
	incoming: MemberRecord,
	isGossip: boolean,
): boolean {
	const {state} = context;
	const {nodeId} = incoming.member;
	if (nodeId === state.self.member.nodeId) {
		refute(context, incoming.standing);
		return false;
	}

	const current = state.roster.records.get(nodeId);
	if (current === undefined && incoming.member.status === memberStatuses.dead) {
		return false;
	}

	const accepted =
		current === undefined
			? incoming
			: deferAccusation(context, current, incoming, isGossip);
	const merged = current === undefined ? incoming : mergeRecord(current, accepted);
	if (merged === current) {
		return false;
	}

	replaceRecord(context, merged);
	if (isGossip) {
		enqueueRumour(state.rumourQueue, {kind: 'detail', record: merged});
	}

	return true;
}

/**
 * Applies a received standing of a member.
 *
 * @param context context of the event
 * @param nodeId id of the member
 * @param claim the received standing
 * @returns whether it was newer than the current one
 */
export function applyStanding(
	context: EventContext,
	nodeId: string,
	claim: Standing,
): boolean {
	const {state} = context;
	if (nodeId === state.self.member.nodeId) {
		refute(context, claim);
		return false;
	}

	const current = state.roster.records.get(nodeId);
	if (current === undefined) {
		return false;
	}

	const standing = downgradeDeath(current, claim);
	const merged = mergeStanding(current, standing);
	if (merged === current) {
		return false;
	}

	replaceRecord(context, merged);
	enqueueRumour(state.rumourQueue, {kind: 'standing', nodeId, standing});
	return true;
}

/**
 * Treats a reported death as a suspicion, so that the member has time to refute it. The death of
 * a leaving member is accepted at once: a false report costs it no work.
 */
function downgradeDeath(current: MemberRecord, claim: Standing): Standing {
	const isDeath = claim.status === memberStatuses.dead;
	const isSameIncarnation = claim.incarnation === current.member.incarnation;
	const isNotLeaving = current.member.status !== memberStatuses.leaving;
	return isDeath && isSameIncarnation && isNotLeaving
		? {...claim, status: memberStatuses.suspect}
		: claim;
}

/**
 * A standing, delivered by anti-entropy, that marks an alive member suspect or dead may date from a
 * partition that has healed. It is not accepted; the member is queued for a priority probe instead.
 */
function deferAccusation(
	context: EventContext,
	current: MemberRecord,
	incoming: MemberRecord,
	isGossip: boolean,
): MemberRecord {
	const {priorityProbes, parameters} = context.state;
	const isSameIncarnation = incoming.standing.incarnation === current.member.incarnation;
	const isAccusation =
		isSameIncarnation &&
		!isAliveOrLeaving(incoming.member) &&
		isAliveOrLeaving(current.member);
	const isNewer = compareStandings(incoming.standing, current.standing) > 0;
	if (isGossip || !isAccusation || !isNewer) {
		const standing = downgradeDeath(current, incoming.standing);
		return combineRecord(incoming.member, incoming.detailRevision, standing);
	}

	if (priorityProbes.size < parameters.maximumPriorityProbes) {
		priorityProbes.set(current.member.nodeId, incoming.standing);
	}

	return combineRecord(incoming.member, incoming.detailRevision, current.standing);
}
