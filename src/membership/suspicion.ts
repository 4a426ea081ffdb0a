/** Suspicion and death: a member that answers no probe is suspect, and dead if it does not refute. */
import {enqueueRumour} from './rumour-queue.js';
import {memberStatuses, type Member} from './member.js';
import {suspicionTimeout} from './parameters.js';
import {mergeStanding, type MemberRecord} from './record.js';
import {putRecord} from './roster.js';
import {type EventContext} from './state.js';

/**
 * Marks a member suspect that did not answer a probe.
 *
 * @param context context of the event
 * @param nodeId id of the member
 * @param incarnation the incarnation that was probed
 */
export function markSuspect(
	context: EventContext,
	nodeId: string,
	incarnation: number,
): void {
	const {state} = context;
	const record = state.roster.records.get(nodeId);
	if (record?.member.incarnation !== incarnation || !isAliveOrLeaving(record.member)) {
		return;
	}

	const {revision} = record.standing;
	state.counters.suspicions += 1;
	const standing = {incarnation, revision, status: memberStatuses.suspect};
	replaceRecord(context, mergeStanding(record, standing));
	enqueueRumour(state.rumourQueue, {kind: 'standing', nodeId, standing});
}

/**
 * Declares members dead whose suspicion has timed out.
 *
 * @param context context of the event
 */
export function expireSuspicions(context: EventContext): void {
	const {state, now} = context;
	for (const [nodeId, suspicion] of state.suspicions) {
		if (suspicion.deadline > now) {
			continue;
		}

		const record = state.roster.records.get(nodeId);
		state.suspicions.delete(nodeId);
		if (record?.member.status !== memberStatuses.suspect) {
			continue;
		}

		const standing = {...record.standing, status: memberStatuses.dead};
		state.counters.deaths += 1;
		// The death is not gossiped: each member that received the suspicion times it out itself,
		// and anti-entropy makes the others probe the member.
		replaceRecord(context, mergeStanding(record, standing));
	}
}

/**
 * Computes when a suspicion that starts now times out.
 *
 * @param context context of the event
 * @returns monotonic milliseconds
 */
export function suspicionDeadline(context: EventContext): number {
	const {parameters, roster, localHealth} = context.state;
	const timeout = suspicionTimeout(parameters, roster.records.size);
	return context.now + timeout * (1 + localHealth);
}

/**
 * Replaces the record of a member, and starts or ends its suspicion.
 *
 * @param context context of the event
 * @param record the newer record
 */
export function replaceRecord(context: EventContext, record: MemberRecord): void {
	const {state} = context;
	const {member} = record;
	const previous = state.roster.records.get(member.nodeId)?.member;
	putRecord(state.roster, record, false, context.now);
	trackSuspicion(context, member);
	context.effects.push({kind: 'memberChanged', member, previous});
}

function trackSuspicion(context: EventContext, member: Member): void {
	const {suspicions} = context.state;
	if (member.status !== memberStatuses.suspect) {
		suspicions.delete(member.nodeId);
		return;
	}

	if (!suspicions.has(member.nodeId)) {
		suspicions.set(member.nodeId, {deadline: suspicionDeadline(context)});
	}
}

/**
 * Tells whether a member is alive or leaving, that is, neither suspect nor dead.
 *
 * @param member the member
 */
export function isAliveOrLeaving(member: Member): boolean {
	return (
		member.status === memberStatuses.alive || member.status === memberStatuses.leaving
	);
}
