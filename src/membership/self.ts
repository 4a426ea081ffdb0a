/** This node's own record: its changes, and the refutation of false claims about it. */
import {enqueueRumour} from './rumour-queue.js';
import {
	compareStandings,
	createRecord,
	type MemberRecord,
	type Standing,
} from './record.js';
import {putRecord} from './roster.js';
import {type SelfPatch, type EventContext} from './state.js';

/** What the encoding holds; a larger number would keep this node from sending its record. */
const maximumSlots = 0xff_ff_ff_ff;

/**
 * Changes this node's own record and queues it for gossip.
 *
 * @param context context of the event
 * @param patch the changes
 */
export function updateSelf(context: EventContext, patch: SelfPatch): void {
	const {state} = context;
	const {member, standing} = state.self;
	const service = 'service' in patch ? patch.service : member.service;
	const slots = Math.min(patch.slots ?? member.slots, maximumSlots);
	const status = patch.status ?? member.status;
	if (service === member.service && slots === member.slots && status === member.status) {
		return;
	}

	const revision = standing.revision + 1;
	replaceSelf(context, createRecord({...member, service, slots, status, revision}));
}

/**
 * Refutes a claim about this node that is newer than its own standing. A later incarnation of
 * this node id is either an earlier run whose clock was ahead, above which this node raises its
 * own incarnation until it has settled, or another process with the same id.
 *
 * @param context context of the event
 * @param claim a received standing of this node
 */
export function refute(context: EventContext, claim: Standing): void {
	const {state} = context;
	const {member, standing, detailRevision} = state.self;
	if (compareStandings(claim, standing) <= 0) {
		return;
	}

	if (claim.incarnation > standing.incarnation) {
		handleLaterIncarnation(context, claim.incarnation);
		return;
	}

	state.counters.refutations += 1;
	state.localHealth = Math.min(
		state.parameters.maximumLocalHealth,
		state.localHealth + 1,
	);
	const revision = claim.revision + 1;
	const refutation = {...standing, revision};
	state.self = {member: {...member, revision}, detailRevision, standing: refutation};
	putRecord(state.roster, state.self, true, context.now);
	enqueueRumour(state.rumourQueue, {
		kind: 'standing',
		nodeId: member.nodeId,
		standing: refutation,
	});
}

function handleLaterIncarnation(context: EventContext, incarnation: number): void {
	const {state} = context;
	if (state.isSettled) {
		state.counters.superseded += 1;
		context.effects.push({kind: 'superseded', incarnation});
		return;
	}

	const {member} = state.self;
	replaceSelf(
		context,
		createRecord({...member, incarnation: incarnation + 1, revision: 0}),
	);
}

function replaceSelf(context: EventContext, record: MemberRecord): void {
	const {state} = context;
	const previous = state.self.member;
	state.self = record;
	putRecord(state.roster, record, true, context.now);
	enqueueRumour(state.rumourQueue, {kind: 'detail', record});
	context.effects.push({kind: 'memberChanged', member: record.member, previous});
}
