/** What this node says of itself: its changes, and its answer to what is false of it. */
import {enqueueRumour} from './rumour-queue.js';
import {
	compareStandings,
	createRecord,
	type MemberRecord,
	type Standing,
} from './record.js';
import {putRecord} from './roster.js';
import {type SelfPatch, type EventContext} from './state.js';

/**
 * Changes what this node says of itself, and spreads it.
 *
 * @param step the event being decided
 * @param patch what changes
 */
export function updateSelf(step: EventContext, patch: SelfPatch): void {
	const {state} = step;
	const {member, standing} = state.self;
	const service = 'service' in patch ? patch.service : member.service;
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
 *
 * @param step the event being decided
 * @param claim what is said of this node
 */
export function refute(step: EventContext, claim: Standing): void {
	const {state} = step;
	const {member, standing, detailRevision} = state.self;
	if (compareStandings(claim, standing) <= 0) {
		return;
	}

	if (claim.incarnation > standing.incarnation) {
		handleLaterIncarnation(step, claim.incarnation);
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
	enqueueRumour(state.rumourQueue, {
		kind: 'standing',
		nodeId: member.nodeId,
		standing: fresh,
	});
}

function handleLaterIncarnation(step: EventContext, incarnation: number): void {
	const {state} = step;
	if (state.isSettled) {
		state.counters.superseded += 1;
		step.effects.push({kind: 'superseded', incarnation});
		return;
	}

	const {member} = state.self;
	replaceSelf(step, createRecord({...member, incarnation: incarnation + 1, revision: 0}));
}

function replaceSelf(step: EventContext, record: MemberRecord): void {
	const {state} = step;
	const previous = state.self.member;
	state.self = record;
	putRecord(state.roster, record, true, step.now);
	enqueueRumour(state.rumourQueue, {kind: 'detail', record});
	step.effects.push({kind: 'memberChanged', member: record.member, previous});
}
