/**
 * State of membership on one node, its events and effects. The functions of this folder take an
 * `EventContext` and update its state in place.
 */
import {createRumourQueue, type RumourQueue} from './rumour-queue.js';
import {createByteBudget, type ByteBudget} from './budget.js';
import {type Member, type MemberStatus} from './member.js';
import {type Address, type Packet, type Rumour, type TopicProof} from './message.js';
import {type MembershipParameters} from './parameters.js';
import {createRecord, type MemberRecord, type Standing} from './record.js';
import {createRoster, putRecord, type Roster} from './roster.js';

/** An unanswered probe of one member. */
export type Probe = {
	readonly sequence: number;
	readonly target: string;
	readonly incarnation: number;
	readonly indirectAt: number;
	readonly deadline: number;
	isIndirect: boolean;
	/** Whether any peer answered the request for an indirect probe, even without success. */
	hasPeerAnswer: boolean;
};

/** An indirect probe that this node runs on request of a peer. */
export type RelayedProbe = {
	readonly requester: Address;
	readonly requesterSequence: number;
	readonly deadline: number;
};

export type Suspicion = {
	deadline: number;
};

/** An answer to a sync request that waits for the byte budget. */
export type SyncJob = {
	readonly address: Address;
	/** Versions and announcements still to be sent, in reverse order. */
	readonly rumours: Rumour[];
	/** Members still to be sent, in reverse order. */
	readonly nodeIds: string[];
};

export type StoredAnnouncement = {
	readonly payload: Uint8Array;
	readonly expiresAt: number;
};

export type LeaveProgress = {
	readonly deadline: number;
	readonly pingSequences: Set<number>;
	readonly acknowledgedBy: Set<string>;
	isDone: boolean;
};

export type Counters = {
	probes: number;
	failedProbes: number;
	indirectProbes: number;
	suspicions: number;
	deaths: number;
	refutations: number;
	pauses: number;
	superseded: number;
	packetsReceived: number;
	packetsSent: number;
	packetsWithheld: number;
	bytesReceived: number;
	malformed: number;
};

export type MembershipState = {
	readonly parameters: MembershipParameters;
	self: MemberRecord;
	readonly roster: Roster;
	readonly rumourQueue: RumourQueue;
	readonly budget: ByteBudget;
	readonly suspicions: Map<string, Suspicion>;
	/** Members alive or leaving here that another node reported suspect or dead; probed first. */
	readonly priorityProbes: Map<string, Standing>;
	readonly relayedProbes: Map<number, RelayedProbe>;
	readonly topics: Map<string, number>;
	/** The topics that were raised last, the latest at the end. */
	recentTopics: readonly string[];
	/** The topics whose proofs were renewed last, the latest at the end. */
	recentProofs: readonly string[];
	/** The newest proof of each topic that has one. */
	readonly proofs: Map<string, TopicProof>;
	readonly announcements: Map<string, StoredAnnouncement>;
	readonly wantedServices: Set<string>;
	readonly counters: Counters;
	syncJobs: SyncJob[];
	seeds: readonly Address[];
	probe: Probe | undefined;
	probePosition: number;
	sequence: number;
	/** Zero while this node is healthy; probe and suspicion timeouts are multiplied by 1 + this. */
	localHealth: number;
	leave: LeaveProgress | undefined;
	/** Once settled, the incarnation is final; before, it may be raised above an earlier one. */
	isSettled: boolean;
	settleAt: number;
	lastEventAt: number;
	lastPacketAt: number;
	nextProbeAt: number;
	nextGossipAt: number;
	nextSyncAt: number;
	nextReconnectAt: number;
	nextSeedContactAt: number;
	seedContacts: number;
	/** Whether sync delivered new records since the last request. */
	hasSyncedNewRecords: boolean;
};

/** Changes to a node's own record. Absent fields stay unchanged. */
export type SelfPatch = {
	/** Service of the server beside the node; set to undefined when the server has gone. */
	readonly service?: string | undefined;
	readonly slots?: number;
	readonly status?: Extract<MemberStatus, 'alive' | 'leaving'>;
};

export type MembershipEvent =
	| {readonly kind: 'tick'}
	| {readonly kind: 'packet'; readonly packet: Packet; readonly from: Address}
	| {readonly kind: 'seeds'; readonly seeds: readonly Address[]}
	| {readonly kind: 'updateSelf'; readonly patch: SelfPatch}
	| {readonly kind: 'publishVersion'; readonly topic: string; readonly version: number}
	| {
			readonly kind: 'publishProof';
			readonly topic: string;
			readonly proof: TopicProof;
	  }
	| {
			readonly kind: 'announce';
			readonly id: string;
			readonly payload: Uint8Array;
			readonly lifetimeMilliseconds: number;
	  }
	| {readonly kind: 'want'; readonly service: string}
	| {readonly kind: 'leave'}
	| {readonly kind: 'farewell'};

export type MembershipEffect =
	| {readonly kind: 'send'; readonly address: Address; readonly bytes: Uint8Array}
	| {
			readonly kind: 'memberChanged';
			readonly member: Member;
			readonly previous: Member | undefined;
	  }
	| {
			readonly kind: 'versionRaised';
			readonly topic: string;
			readonly version: number;
			/** Id of the node that sent the version. */
			readonly from: string;
	  }
	| {
			readonly kind: 'proofRenewed';
			readonly topic: string;
			readonly proof: TopicProof;
	  }
	| {readonly kind: 'announced'; readonly id: string; readonly payload: Uint8Array}
	| {readonly kind: 'settled'}
	| {readonly kind: 'superseded'; readonly incarnation: number}
	| {readonly kind: 'leaveSpread'};

/** Context of the event being handled: the state, the current time and the effects so far. */
export type EventContext = {
	readonly state: MembershipState;
	/** Monotonic time in milliseconds. */
	readonly now: number;
	readonly random: () => number;
	readonly effects: MembershipEffect[];
};

/**
 * Creates the state of a node that knows no other member.
 *
 * @param self the record of this node
 * @param parameters intervals, timeouts and limits
 * @param now current time in monotonic milliseconds
 * @returns the state
 */
export function createState(
	self: Member,
	parameters: MembershipParameters,
	now: number,
): MembershipState {
	const record = createRecord(self);
	const roster = createRoster();
	putRecord(roster, record, true, now);
	return {
		parameters,
		self: record,
		roster,
		rumourQueue: createRumourQueue(),
		budget: createByteBudget(parameters.bytesPerSecond, parameters.burstBytes, now),
		suspicions: new Map(),
		priorityProbes: new Map(),
		relayedProbes: new Map(),
		topics: new Map(),
		recentTopics: [],
		recentProofs: [],
		proofs: new Map(),
		announcements: new Map(),
		wantedServices: new Set(),
		counters: createCounters(),
		syncJobs: [],
		seeds: [],
		probe: undefined,
		probePosition: 0,
		sequence: 0,
		localHealth: 0,
		leave: undefined,
		isSettled: false,
		settleAt: now + parameters.joinTimeoutMilliseconds,
		lastEventAt: now,
		lastPacketAt: now,
		nextProbeAt: now,
		nextGossipAt: now,
		nextSyncAt: now,
		nextReconnectAt: now,
		nextSeedContactAt: now + parameters.joinIntervalMilliseconds,
		seedContacts: 0,
		hasSyncedNewRecords: false,
	};
}

/**
 * Returns the next sequence number of a probe.
 *
 * @param state the state, updated in place
 * @returns a sequence number that no pending probe uses
 */
export function nextSequence(state: MembershipState): number {
	state.sequence = (state.sequence % maximumSequence) + 1;
	return state.sequence;
}

const maximumSequence = 0x7f_ff_ff_ff;

function createCounters(): Counters {
	return {
		probes: 0,
		failedProbes: 0,
		indirectProbes: 0,
		suspicions: 0,
		deaths: 0,
		refutations: 0,
		pauses: 0,
		superseded: 0,
		packetsReceived: 0,
		packetsSent: 0,
		packetsWithheld: 0,
		bytesReceived: 0,
		malformed: 0,
	};
}
