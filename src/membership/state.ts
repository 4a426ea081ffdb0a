/**
 * The state of membership at one node, the events that reach it and the effects that it asks
 * for. The decisions of this folder take a `Step` and update its state in place.
 */
import {createRumourQueue, type RumourQueue} from './rumour-queue.js';
import {createByteBudget, type ByteBudget} from './budget.js';
import {type Member, type MemberStatus} from './member.js';
import {type Address, type Packet, type Rumour} from './message.js';
import {type MembershipParameters} from './parameters.js';
import {createRecord, type MemberRecord, type Standing} from './record.js';
import {createRoster, putRecord, type Roster} from './roster.js';

/** A probe of one member that has not been answered yet. */
export type Probe = {
	readonly sequence: number;
	readonly target: string;
	readonly incarnation: number;
	readonly indirectAt: number;
	readonly deadline: number;
	isIndirect: boolean;
	/** Whether a peer that was asked to probe has answered at all. */
	hasPeerAnswer: boolean;
};

/** A probe made for another member. */
export type RelayedProbe = {
	readonly requester: Address;
	readonly requesterSequence: number;
	readonly deadline: number;
};

export type Suspicion = {
	deadline: number;
};

/** An answer to a sync request that waits for its bytes. */
export type SyncJob = {
	readonly address: Address;
	/** Versions and announcements still to be sent, the next one last. */
	readonly rumours: Rumour[];
	/** Members still to be sent, the next one last. */
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
	/** Members held alive that another node holds suspect or dead: they are probed first. */
	readonly priorityProbes: Map<string, Standing>;
	readonly relayedProbes: Map<number, RelayedProbe>;
	readonly topics: Map<string, number>;
	readonly announcements: Map<string, StoredAnnouncement>;
	readonly wantedServices: Set<string>;
	readonly counters: Counters;
	syncJobs: SyncJob[];
	seeds: readonly Address[];
	probe: Probe | undefined;
	probePosition: number;
	sequence: number;
	/** Multiplier of timeouts beyond one while this node is unwell itself. */
	localHealth: number;
	leave: LeaveProgress | undefined;
	/** While not settled, the incarnation may still rise above that of an earlier life. */
	isSettled: boolean;
	settleAt: number;
	lastEventAt: number;
	nextProbeAt: number;
	nextGossipAt: number;
	nextSyncAt: number;
	nextReconnectAt: number;
	reconnectAttempts: number;
	/** Whether sync has taught something since the last request. */
	hasSyncedNewRecords: boolean;
};

/** What a node may change of itself. An absent field stays as it is. */
export type SelfPatch = {
	/** Service of the server beside the node; given as undefined when the server has gone. */
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
			/** Name of the node that sent the news. */
			readonly from: string;
	  }
	| {readonly kind: 'announced'; readonly id: string; readonly payload: Uint8Array}
	| {readonly kind: 'settled'}
	| {readonly kind: 'superseded'; readonly incarnation: number}
	| {readonly kind: 'leaveSpread'};

/** One event being decided: the state, the present time and what is asked for so far. */
export type EventContext = {
	readonly state: MembershipState;
	/** Monotonic milliseconds. */
	readonly now: number;
	readonly random: () => number;
	readonly effects: MembershipEffect[];
};

/**
 * Creates the state of a node that knows of itself alone.
 *
 * @param self this node as it describes itself
 * @param parameters intervals, timeouts and bounds
 * @param now present time in monotonic milliseconds
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
		nextProbeAt: now,
		nextGossipAt: now,
		nextSyncAt: now,
		nextReconnectAt: now + parameters.joinIntervalMilliseconds,
		reconnectAttempts: 0,
		hasSyncedNewRecords: false,
	};
}

/**
 * Gives the next number of a probe.
 *
 * @param state the state, updated in place
 * @returns a number that no open probe has
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
