/** Suspicion and death: a member that answers no probe has its time to refute. */
import {enqueueRumour} from './rumour-queue.js';
import {memberStatuses, type Member} from './member.js';
import {suspicionTimeout} from './parameters.js';
import {mergeStanding, type MemberRecord} from './record.js';
import {putRecord} from './roster.js';
import {type EventContext} from './state.js';

/**
 * Raises a suspicion of a member that answered no probe.
 *
 * @param step the event being decided
 * @param nodeId name of the member
 * @param incarnation its life that was probed
 */
export function markSuspect(
	step: EventContext,
	nodeId: string,
	incarnation: number,
): void {
	const {state} = step;
	const held = state.roster.records.get(nodeId);
	if (held?.member.incarnation !== incarnation || !isAliveOrLeaving(held.member)) {
		return;
	}

	const {revision} = held.standing;
	state.counters.suspicions += 1;
	const standing = {incarnation, revision, status: memberStatuses.suspect};
	replaceRecord(step, mergeStanding(held, standing));
	enqueueRumour(state.rumourQueue, {kind: 'standing', nodeId, standing});
}

/**
 * Declares the members dead whose suspicion has lasted out.
 *
 * @param step the event being decided
 */
export function expireSuspicions(step: EventContext): void {
	const {state, now} = step;
	for (const [nodeId, suspicion] of state.suspicions) {
		if (suspicion.deadline > now) {
			continue;
		}

		const held = state.roster.records.get(nodeId);
		state.suspicions.delete(nodeId);
		if (held?.member.status !== memberStatuses.suspect) {
			continue;
		}

		const standing = {...held.standing, status: memberStatuses.dead};
		state.counters.deaths += 1;
		// The verdict is not spread: each member that heard of the suspicion times it out itself,
		// and the anti-entropy makes the others look.
		replaceRecord(step, mergeStanding(held, standing));
	}
}

/**
 * Gives the time at which a suspicion raised now becomes a verdict.
 *
 * @param step the event being decided
 * @returns monotonic milliseconds
 */
export function suspicionDeadline(step: EventContext): number {
	const {parameters, roster, localHealth} = step.state;
	const timeout = suspicionTimeout(parameters, roster.records.size);
	return step.now + timeout * (1 + localHealth);
}

/**
 * Puts a record in place of the one held, and starts or ends the suspicion of its member.
 *
 * @param step the event being decided
 * @param record the newer record
 */
export function replaceRecord(step: EventContext, record: MemberRecord): void {
	const {state} = step;
	const {member} = record;
	const previous = state.roster.records.get(member.nodeId)?.member;
	putRecord(state.roster, record, false, step.now);
	trackSuspicion(step, member);
	step.effects.push({kind: 'memberChanged', member, previous});
}

function trackSuspicion(step: EventContext, member: Member): void {
	const {suspicions} = step.state;
	if (member.status !== memberStatuses.suspect) {
		suspicions.delete(member.nodeId);
		return;
	}

	if (!suspicions.has(member.nodeId)) {
		suspicions.set(member.nodeId, {deadline: suspicionDeadline(step)});
	}
}

/**
 * Tells whether a member is held to be alive or leaving.
 *
 * @param member the member
 * @returns whether nothing is held against it
 */
export function isAliveOrLeaving(member: Member): boolean {
	return (
		member.status === memberStatuses.alive || member.status === memberStatuses.leaving
	);
}
