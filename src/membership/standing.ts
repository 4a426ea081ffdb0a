/** News of members: merging it, refuting what is false of this node, suspicion and death. */
import {enqueueRumour} from './broadcast.js';
import {memberStatuses, type Member} from './member.js';
import {scaleByMembers} from './parameters.js';
import {
	compareStandings,
	createRecord,
	mergeRecord,
	mergeStanding,
	type MemberRecord,
	type Standing,
} from './record.js';
import {putRecord} from './roster.js';
import {type SelfPatch, type Step} from './state.js';

/**
 * Takes in a whole record that arrived.
 *
 * @param step the event being decided
 * @param news the record
 * @param isPassedOn whether the news is passed on when it is newer
 * @returns whether it was newer than what was held
 */
export function applyRecord(
	step: Step,
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

	const merged = held === undefined ? news : mergeRecord(held, news);
	if (merged === held) {
		return false;
	}

	replaceRecord(step, merged);
	if (isPassedOn) {
		enqueueRumour(state.broadcast, {kind: 'detail', record: merged});
	}

	return true;
}

/**
 * Takes in the standing of a member that arrived without its detail.
 *
 * @param step the event being decided
 * @param nodeId name of the member
 * @param standing what is said of it
 * @returns whether it was newer than what was held
 */
export function applyStanding(step: Step, nodeId: string, standing: Standing): boolean {
	const {state} = step;
	if (nodeId === state.self.member.nodeId) {
		refute(step, standing);
		return false;
	}

	const held = state.roster.records.get(nodeId);
	if (held === undefined) {
		return false;
	}

	const merged = mergeStanding(held, standing);
	if (merged === held) {
		return false;
	}

	replaceRecord(step, merged);
	enqueueRumour(state.broadcast, {kind: 'standing', nodeId, standing});
	return true;
}

/**
 * Raises a suspicion of a member that answered no probe.
 *
 * @param step the event being decided
 * @param nodeId name of the member
 * @param incarnation its life that was probed
 */
export function suspect(step: Step, nodeId: string, incarnation: number): void {
	const {state} = step;
	const held = state.roster.records.get(nodeId);
	if (held?.member.incarnation !== incarnation || !isTrusted(held.member)) {
		return;
	}

	const {revision} = held.standing;
	state.counters.suspicions += 1;
	state.suspicions.set(nodeId, {deadline: suspicionDeadline(step), isAccuser: true});
	applyStanding(step, nodeId, {incarnation, revision, status: memberStatuses.suspect});
}

/**
 * Declares the members dead whose suspicion has lasted out.
 *
 * @param step the event being decided
 */
export function expireSuspicions(step: Step): void {
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
		replaceRecord(step, mergeStanding(held, standing));
		// Every member that heard of the suspicion times it out itself; one verdict spreads for
		// those that did not.
		if (suspicion.isAccuser) {
			enqueueRumour(state.broadcast, {kind: 'standing', nodeId, standing});
		}
	}
}

/**
 * Gives the time at which a suspicion raised now becomes a verdict.
 *
 * @param step the event being decided
 * @returns monotonic milliseconds
 */
export function suspicionDeadline(step: Step): number {
	const {parameters, roster, localHealth} = step.state;
	const intervals = scaleByMembers(parameters.suspicionMultiplier, roster.records.size);
	const timeout = intervals * parameters.probeIntervalMilliseconds;
	return step.now + timeout * (1 + localHealth);
}

/**
 * Changes what this node says of itself, and spreads it.
 *
 * @param step the event being decided
 * @param patch what changes
 */
export function updateSelf(step: Step, patch: SelfPatch): void {
	const {state} = step;
	const {member, standing} = state.self;
	const service = patch.service === null ? undefined : (patch.service ?? member.service);
	const slots = patch.slots ?? member.slots;
	const status = patch.status ?? member.status;
	if (service === member.service && slots === member.slots && status === member.status) {
		return;
	}

	const revision = standing.revision + 1;
	replaceSelf(step, createRecord({...member, service, slots, status, revision}));
}

/**
 * Answers news of this node that outranks its own word. A later incarnation of this name is
 * either the news of an earlier life whose clock ran ahead, which is outbid before this node
 * has settled, or another process with this name.
 */
function refute(step: Step, claim: Standing): void {
	const {state} = step;
	const {member, standing, detailRevision} = state.self;
	if (compareStandings(claim, standing) <= 0) {
		return;
	}

	if (claim.incarnation > standing.incarnation) {
		outbid(step, claim.incarnation);
		return;
	}

	state.counters.refutations += 1;
	state.localHealth = Math.min(
		state.parameters.maximumLocalHealth,
		state.localHealth + 1,
	);
	const revision = claim.revision + 1;
	const fresh = {...standing, revision};
	state.self = {member: {...member, revision}, detailRevision, standing: fresh};
	putRecord(state.roster, state.self, true, step.now);
	enqueueRumour(state.broadcast, {
		kind: 'standing',
		nodeId: member.nodeId,
		standing: fresh,
	});
}

function outbid(step: Step, incarnation: number): void {
	const {state} = step;
	if (state.isSettled) {
		state.counters.superseded += 1;
		step.effects.push({kind: 'superseded', incarnation});
		return;
	}

	const {member} = state.self;
	replaceSelf(step, createRecord({...member, incarnation: incarnation + 1, revision: 0}));
}

function replaceSelf(step: Step, record: MemberRecord): void {
	const {state} = step;
	const previous = state.self.member;
	state.self = record;
	putRecord(state.roster, record, true, step.now);
	enqueueRumour(state.broadcast, {kind: 'detail', record});
	step.effects.push({kind: 'memberChanged', member: record.member, previous});
}

function replaceRecord(step: Step, record: MemberRecord): void {
	const {state} = step;
	const {member} = record;
	const previous = state.roster.records.get(member.nodeId)?.member;
	putRecord(state.roster, record, false, step.now);
	trackSuspicion(step, member);
	step.effects.push({kind: 'memberChanged', member, previous});
}

function trackSuspicion(step: Step, member: Member): void {
	const {suspicions} = step.state;
	if (member.status !== memberStatuses.suspect) {
		suspicions.delete(member.nodeId);
		return;
	}

	if (!suspicions.has(member.nodeId)) {
		const deadline = suspicionDeadline(step);
		suspicions.set(member.nodeId, {deadline, isAccuser: false});
	}
}

function isTrusted(member: Member): boolean {
	return (
		member.status === memberStatuses.alive || member.status === memberStatuses.leaving
	);
}
