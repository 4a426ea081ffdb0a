/** News of members that arrives from others: what is believed, and what is looked into first. */
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
 * Takes in a whole record that arrived.
 *
 * @param step the event being decided
 * @param news the record
 * @param isPassedOn whether the news is passed on when it is newer; false for anti-entropy
 * @returns whether it was newer than what was held
 */
export function applyRecord(
	step: EventContext,
	news: MemberRecord,
	isPassedOn: boolean,
): boolean {
	const {state} = step;
	const {nodeId} = news.member;
	if (nodeId === state.self.member.nodeId) {
		refute(step, news.standing);
		return false;
	}

	const held = state.roster.records.get(nodeId);
	if (held === undefined && news.member.status === memberStatuses.dead) {
		return false;
	}

	const softened =
		held === undefined ? news : deferAccusation(step, held, news, isPassedOn);
	const merged = held === undefined ? news : mergeRecord(held, softened);
	if (merged === held) {
		return false;
	}

	replaceRecord(step, merged);
	if (isPassedOn) {
		enqueueRumour(state.rumourQueue, {kind: 'detail', record: merged});
	}

	return true;
}

/**
 * Takes in the standing of a member that arrived without its detail.
 *
 * @param step the event being decided
 * @param nodeId name of the member
 * @param claim what is said of it
 * @returns whether it was newer than what was held
 */
export function applyStanding(
	step: EventContext,
	nodeId: string,
	claim: Standing,
): boolean {
	const {state} = step;
	if (nodeId === state.self.member.nodeId) {
		refute(step, claim);
		return false;
	}

	const held = state.roster.records.get(nodeId);
	if (held === undefined) {
		return false;
	}

	const standing = downgradeDeath(held, claim);
	const merged = mergeStanding(held, standing);
	if (merged === held) {
		return false;
	}

	replaceRecord(step, merged);
	enqueueRumour(state.rumourQueue, {kind: 'standing', nodeId, standing});
	return true;
}

/**
 * Another's verdict of death is no more than a suspicion here, so that the member has its time
 * to refute it. A member that leaves has no work to lose by it.
 */
function downgradeDeath(held: MemberRecord, claim: Standing): Standing {
	const isVerdict = claim.status === memberStatuses.dead;
	const isSameLife = claim.incarnation === held.member.incarnation;
	const isProtected = held.member.status !== memberStatuses.leaving;
	return isVerdict && isSameLife && isProtected
		? {...claim, status: memberStatuses.suspect}
		: claim;
}

/**
 * What anti-entropy says against a member held alive may be as old as a cut that has healed: it
 * is looked into by a probe rather than believed.
 */
function deferAccusation(
	step: EventContext,
	held: MemberRecord,
	news: MemberRecord,
	isBelieved: boolean,
): MemberRecord {
	const {priorityProbes: doubts, parameters} = step.state;
	const isSameLife = news.standing.incarnation === held.member.incarnation;
	const isAccusation =
		isSameLife && !isAliveOrLeaving(news.member) && isAliveOrLeaving(held.member);
	const isNewer = compareStandings(news.standing, held.standing) > 0;
	if (isBelieved || !isAccusation || !isNewer) {
		const standing = downgradeDeath(held, news.standing);
		return combineRecord(news.member, news.detailRevision, standing);
	}

	if (doubts.size < parameters.maximumPriorityProbes) {
		doubts.set(held.member.nodeId, news.standing);
	}

	return combineRecord(news.member, news.detailRevision, held.standing);
}
