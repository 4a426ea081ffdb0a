/**
 * Decides when a node asks for a newer proof, so that all have one while the whole mesh asks the table
 * a few times in the limit. The node whose own answer is the newest proof asks again first.
 * When it is gone or the table refuses it, the proof grows older everywhere and the pollers ask, then
 * any node; whoever has the newest answer asks first from then on. A proof from another node puts all
 * of this off, so each part of a divided mesh settles on one that asks.
 *
 * Load pattern: the loss of the node that asks, a table that refuses some nodes or all for a while,
 * and all nodes that miss the proof at the same moment.
 */

export const proofRoles = {
	/** Had the newest proof from the table itself. */
	last: 'last',
	/** Polls the table for its failure domain. */
	poller: 'poller',
	other: 'other',
} as const;

export type ProofRole = (typeof proofRoles)[keyof typeof proofRoles];

type AskShares = Readonly<
	Record<ProofRole, {readonly from: number; readonly spread: number}>
>;

/**
 * Age of the proof at which a node asks, and the time over which the nodes of a role spread, as shares
 * of the limit. Where keys have a time limit, a node that loses touch has to have a proof that lasts for
 * 0.6 of the limit from then on.
 */
const keyedAskShares: AskShares = {
	last: {from: 0.15, spread: 0},
	poller: {from: 0.25, spread: 0.05},
	other: {from: 0.32, spread: 0.12},
};
/** Elsewhere only the last moment matters at which some node asks, and each proof costs bytes. */
const plainAskShares: AskShares = {
	last: {from: 0.22, spread: 0},
	poller: {from: 0.32, spread: 0.04},
	other: {from: 0.36, spread: 0.08},
};
/** The time limit for changes, as a share of the limit for questions. */
const configurationShare = 0.6;
/** Pause after a failed question; doubled with each further one. */
const failurePauses: Readonly<
	Record<ProofRole, {readonly first: number; readonly longest: number}>
> = {
	last: {first: 200, longest: 600},
	poller: {first: 200, longest: 600},
	other: {first: 1000, longest: 3000},
};
/** A bound of the table's clock that is older has become about 0.1 s looser through drift. */
const boundLifetimeMilliseconds = 600_000;
/** Pause between questions to other nodes. */
const peerPauseMilliseconds = 300;
/** Age of the proof, as a share of the limit, at which a node that the table refuses asks another. */
const peerShare = 0.4;

/** Time limits of a mesh, in milliseconds. */
export type MeshLimits = {
	/** Time after which a change must be in force at nodes in touch. */
	readonly configurationMilliseconds: number;
	/** Time after which a key that was taken away must not be accepted; undefined for no limit. */
	readonly revocationMilliseconds: number | undefined;
};

/**
 * Chooses the limit of which the ages are shares at which nodes ask for a newer proof. A node that the table
 * serves asks it at 0.44 of this limit at the latest. What it learns needs the rest of the time to reach all
 * nodes.
 *
 * @param limits the limits of the mesh
 * @returns milliseconds
 */
export function chooseQuestionLimit({
	configurationMilliseconds,
	revocationMilliseconds = Number.POSITIVE_INFINITY,
}: MeshLimits): number {
	return Math.min(configurationMilliseconds / configurationShare, revocationMilliseconds);
}

export type AskingState = {
	/** Time after which a key that was taken away must not be accepted, in milliseconds. */
	readonly limitMilliseconds: number;
	readonly role: ProofRole;
	/** Whether the age of the proof decides if keys are accepted. */
	readonly isKeyLimited: boolean;
	/**
	 * Local time in milliseconds at which the routes of this node were last provably the newest. Proofs of
	 * routes that it lacks do not count: its own only grow older.
	 */
	readonly provenAt: number | undefined;
	/** Local time of the last answered question to the table, in milliseconds. */
	readonly askedAt: number;
	/** Failed questions to the table since its last answer. */
	readonly failures: number;
	/** Local time of the last failed question, in milliseconds. */
	readonly failedAt: number;
	/** Local time of the last answer of the table, in milliseconds. */
	readonly answeredAt: number;
	/** A number from 0 to below 1, drawn anew for each proof and each question. */
	readonly jitter: number;
};

/**
 * Returns when to ask the table next, unless a newer proof arrives before.
 *
 * @param state what decides
 * @returns local time in milliseconds
 */
export function nextTableQuestionAt(state: AskingState): number {
	const {role, limitMilliseconds, provenAt, askedAt, failures, failedAt, answeredAt} =
		state;
	const {jitter, isKeyLimited} = state;
	const {from, spread} = (isKeyLimited ? keyedAskShares : plainAskShares)[role];
	const age = (from + spread * jitter) * limitMilliseconds;
	// An answer without a proof for these routes, as of a restored table, must not be asked for at once again.
	const agedAt = Math.max(provenAt ?? Number.NEGATIVE_INFINITY, askedAt) + age;
	const dueAt = Math.min(agedAt, answeredAt + boundLifetimeMilliseconds * (1 + jitter));
	if (failures === 0) {
		return dueAt;
	}

	const {first, longest} = failurePauses[role];
	const pause = Math.min(longest, first * 2 ** Math.min(failures - 1, 8));
	return Math.max(dueAt, failedAt + pause * (0.5 + jitter));
}

/** What decides whether to ask another node. */
export type PeerAskingState = Pick<
	AskingState,
	'limitMilliseconds' | 'failures' | 'jitter'
> & {
	/** Local time of the newest proof in milliseconds; undefined without any. */
	readonly newestAt: number | undefined;
	/** Whether the newest proof cannot be placed, or only too early. */
	readonly needsBound: boolean;
	/** Local time of the last question to another node, in milliseconds. */
	readonly askedAt: number;
};

/**
 * Returns when to ask another node for its proof and its bound of the table's clock.
 *
 * @param state what decides
 * @returns local time in milliseconds; infinite if there is no need
 */
export function nextPeerQuestionAt(state: PeerAskingState): number {
	const {limitMilliseconds, newestAt, failures, jitter, needsBound, askedAt} = state;
	const pauseEndsAt = askedAt + peerPauseMilliseconds * (0.5 + jitter);
	if (needsBound) {
		return pauseEndsAt;
	}

	if (failures === 0) {
		return Number.POSITIVE_INFINITY;
	}

	return Math.max(pauseEndsAt, (newestAt ?? 0) + peerShare * limitMilliseconds);
}
