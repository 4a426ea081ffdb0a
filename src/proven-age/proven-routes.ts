/**
 * How old a node's knowledge of the routes provably is. A proof says: at this time of the table,
 * routes of this version or a higher one were the newest. Proofs name a time of the table, so that
 * nodes can pass them on without adding up delays; a node that learns of one places it on its own
 * clock by its bound of the table's clock, always at the earliest possible moment.
 *
 * Load pattern: requests with a key at every node, of which only a few ask the table. Whether a
 * request may enter is answered from memory.
 */
import {
	latestTime,
	tightenBound,
	type StoreClockBound,
	type StoreExchange,
} from './store-clock.js';

/** States which version was the newest at a time of the table. */
export type RoutesProof = {
	readonly era: number;
	/** The table's time, in milliseconds. */
	readonly provenAt: number;
	/** Routes of this version or a higher one were the newest then. */
	readonly version: number;
};

/** A proof on the clock of this node. */
type PlacedProof = {
	readonly version: number;
	/** Earliest local time that the proof may speak of, in milliseconds. */
	readonly at: number;
};

export type ProvenRoutes = {
	bound: StoreClockBound | undefined;
	/** The newest proof as received; kept to be placed once there is a bound for its era. */
	newest: RoutesProof | undefined;
	/** Whether this node had the newest proof from the table itself, by asking for it. */
	isOwn: boolean;
	/** Versions rise and so do times: a proof of a higher version that is older says more. */
	placed: readonly PlacedProof[];
	/** The highest version that is known to exist. */
	knownVersion: number;
	/** The table's clock as it was last answered to this node. */
	answered:
		{readonly era: number; readonly storeTime: number; readonly at: number} | undefined;
};

/** @returns what a node knows before it has asked anyone */
export function createProvenRoutes(): ProvenRoutes {
	return {
		bound: undefined,
		newest: undefined,
		isOwn: false,
		placed: [],
		knownVersion: 0,
		answered: undefined,
	};
}

/**
 * Records that a version exists. A table that later names a lower one was restored from an older
 * copy, and proves nothing about routes below this version.
 *
 * @param state the state, updated in place
 * @param version the version
 */
export function noteVersion(state: ProvenRoutes, version: number): void {
	state.knownVersion = Math.max(state.knownVersion, version);
}

/**
 * Records that the table's clock was bounded by an exchange, with the table or with another node.
 *
 * @param state the state, updated in place
 * @param exchange the exchange
 * @param now local time in milliseconds
 */
export function recordExchange(
	state: ProvenRoutes,
	exchange: StoreExchange,
	now: number,
): void {
	const before = state.bound;
	state.bound = tightenBound(before, exchange, now);
	if (state.newest !== undefined && state.bound !== before) {
		placeProof(state, state.newest, now);
	}
}

/** The table's own answer: what was the newest at some moment while the question was under way. */
export type TableAnswer = StoreExchange & {
	/** Version of the newest routes; undefined if this node could not read them. */
	readonly version: number | undefined;
	/** Whether this node asked for a proof, so that it is the one to ask for the next. */
	readonly isOwn: boolean;
};

/**
 * Records an answer of the table. One that names an earlier time than an answer before its question belongs to
 * another question, or the clock was set: nothing is taken from it, and the clock has to be learned anew.
 *
 * @param state the state, updated in place
 * @param answer the answer
 * @param now local time at which it arrived, in milliseconds
 * @returns the proof for other nodes, if the answer gives one
 */
export function recordAnswer(
	state: ProvenRoutes,
	answer: TableAnswer,
	now: number,
): RoutesProof | undefined {
	const {era, storeTime} = answer;
	if (isOutOfOrder(state, answer)) {
		state.bound = undefined;
		state.newest = undefined;
		state.answered = undefined;
		return undefined;
	}

	state.answered = {era, storeTime, at: now};
	recordExchange(state, answer, now);
	if (answer.version === undefined) {
		return undefined;
	}

	const version = Math.max(answer.version, state.knownVersion);
	noteVersion(state, version);
	addPlaced(state, {version, at: answer.sentAt});
	// The table may have looked at its rows before or after its clock, within the exchange.
	const provenAt = Math.floor(storeTime - (now - answer.sentAt));
	const proof = {era, provenAt, version};
	if (provenAt < 0) {
		return undefined;
	}

	if (isNewer(proof, state.newest)) {
		state.newest = proof;
		state.isOwn = answer.isOwn;
	}

	return proof;
}

function isOutOfOrder({answered}: ProvenRoutes, answer: TableAnswer): boolean {
	return (
		answered?.era === answer.era &&
		answer.sentAt >= answered.at &&
		answer.storeTime < answered.storeTime
	);
}

/**
 * Records a proof that another node passed on.
 *
 * @param state the state, updated in place
 * @param proof the proof
 * @param now local time in milliseconds
 */
export function recordProof(state: ProvenRoutes, proof: RoutesProof, now: number): void {
	const {bound} = state;
	// No proof can speak of the future: the clocks or the sender are at fault.
	const isPossible = bound?.era !== proof.era || latestTime(bound, now) >= proof.provenAt;
	if (!isPossible || !isNewer(proof, state.newest)) {
		return;
	}

	state.newest = proof;
	state.isOwn = false;
	placeProof(state, proof, now);
}

/**
 * Tells whether a proof is newer than another.
 *
 * @param proof the proof
 * @param other the other one, if any
 */
export function isNewer(
	proof: Pick<RoutesProof, 'era' | 'provenAt'>,
	other: Pick<RoutesProof, 'era' | 'provenAt'> | undefined,
): boolean {
	return (
		other === undefined ||
		proof.era > other.era ||
		(proof.era === other.era && proof.provenAt > other.provenAt)
	);
}

/** Whether a bound of the table's clock is lacking for the newest proof. */
export function lacksBound({bound, newest}: ProvenRoutes): boolean {
	return bound === undefined || (newest !== undefined && newest.era > bound.era);
}

function placeProof(state: ProvenRoutes, proof: RoutesProof, now: number): void {
	const {bound} = state;
	if (bound?.era !== proof.era) {
		return;
	}

	const age = latestTime(bound, now) - proof.provenAt;
	if (age < 0) {
		return;
	}

	const version = Math.max(proof.version, state.knownVersion);
	noteVersion(state, version);
	addPlaced(state, {version, at: now - age});
}

function addPlaced(state: ProvenRoutes, proof: PlacedProof): void {
	const isKnown = state.placed.some(
		({version, at}) => version <= proof.version && at >= proof.at,
	);
	if (isKnown) {
		return;
	}

	const others = state.placed.filter(
		({version, at}) => version < proof.version || at > proof.at,
	);
	state.placed = [...others, proof]
		.toSorted((left, right) => right.at - left.at)
		.slice(0, maximumPlaced);
}

/** Versions that follow each other within the time for which a proof counts. */
const maximumPlaced = 16;

/**
 * Returns the time since a version was provably the newest one.
 *
 * @param state the state
 * @param version the active version
 * @param now local time in milliseconds
 * @returns milliseconds; infinite without proof
 */
export function ageOfProof(state: ProvenRoutes, version: number, now: number): number {
	const at = provenAtLocally(state, version);
	return at === undefined ? Number.POSITIVE_INFINITY : now - at;
}

/**
 * Returns the local time at which a version was last provably the newest one.
 *
 * @param state the state
 * @param version the active version
 * @returns milliseconds; undefined without a proof on this node's clock
 */
export function provenAtLocally(
	{placed}: ProvenRoutes,
	version: number,
): number | undefined {
	return placed.find(proof => proof.version <= version)?.at;
}

/**
 * Returns the local time of the newest proof, whatever its version.
 *
 * @param state the state
 * @returns milliseconds; undefined without a proof on this node's clock
 */
export function newestProofAt({placed}: ProvenRoutes): number | undefined {
	return placed[0]?.at;
}

/** Share of the limit that is kept for rounding and for the speed of clocks. */
const marginShare = 0.05;

/** Time limits for the use of routes after a newer version was confirmed, in milliseconds. */
export type ProofLimits = {
	/** For the keys of any node, cut off or not. */
	readonly revocationMilliseconds: number;
	/** For all changes at nodes in touch; one that has heard of a newer version is in touch. */
	readonly configurationMilliseconds: number;
};

/**
 * Tells whether a version was the newest one recently enough for keys to be accepted by it.
 *
 * @param state the state
 * @param version the active version
 * @param limits time after which a withdrawn key must not be accepted
 * @param now local time in milliseconds
 */
export function isProvenRecent(
	state: ProvenRoutes,
	version: number,
	limits: ProofLimits,
	now: number,
): boolean {
	const {revocationMilliseconds, configurationMilliseconds} = limits;
	const limit =
		state.knownVersion > version
			? Math.min(revocationMilliseconds, configurationMilliseconds)
			: revocationMilliseconds;
	return ageOfProof(state, version, now) < limit * (1 - marginShare);
}
