/**
 * Keeps the proof of a node that its routes were the newest ones recently. It asks the table when it is
 * this node's turn, passes proofs on through gossip, and asks other nodes for what the table does not
 * answer. So some node that the table serves notices a change in time, even if the table refuses all
 * nodes that poll it. Where keys that are taken away must stop working within a limit, the age of the
 * proof also decides whether keys are accepted.
 */
import type {Result} from 'neverthrow';
import type {Logger} from '../log/index.js';
import {memberStatuses, type Member, type Membership} from '../membership/index.js';
import {
	ageOfProof,
	chooseQuestionLimit,
	createProvenRoutes,
	isProvenRecent,
	lacksBound,
	latestTime,
	newestProofAt,
	nextPeerQuestionAt,
	nextTableQuestionAt,
	noteVersion,
	proofRoles,
	provenAtLocally,
	recordAnswer,
	recordExchange,
	recordProof,
	type ProofRole,
} from '../proven-age/index.js';
import type {RoutesHolder} from './active-routes.js';
import {formatKnowledge, type PeerKnowledge} from './peer-proof.js';
import {routesTopic} from './peer-routes.js';
import {
	routeSourceErrors,
	type RouteSource,
	type RouteSourceError,
	type RoutesReading,
	type TablePosition,
} from './routes-follower.js';

/** Asks the table for the present state of the routes. */
export type ProofSource = {
	/** Reads what changed after a position without waiting, or the routes if there is no position. */
	readonly check: (
		position: TablePosition | undefined,
	) => Promise<Result<RoutesReading, RouteSourceError>>;
};

export type ProofMembership = Pick<
	Membership,
	'publishProof' | 'onProof' | 'proofOf' | 'onVersion' | 'versionOf' | 'all' | 'self'
>;

export type ProofKeeperOptions = {
	/** Time after which a change must be in force at nodes in touch, in milliseconds. */
	readonly configurationMilliseconds: number;
	/** Time after which a key that was taken away must not be accepted; undefined for no limit. */
	readonly revocationMilliseconds: number | undefined;
	readonly source: ProofSource;
	readonly holder: RoutesHolder;
	readonly log: Logger;
	readonly isPoller: () => boolean;
	readonly askPeer: (member: Member) => Promise<PeerKnowledge | undefined>;
	/** Called with each answer to a question of the keeper, before its routes are activated. */
	readonly onReading: (reading: RoutesReading) => void;
	/** Time in milliseconds that also counts suspensions. */
	readonly steadyTime: () => number;
	/** A number from 0 to below 1. */
	readonly random: () => number;
};

export type ProofKeeper = {
	/** Whether keys may be checked against the active routes, by the age of their proof; counts if not. */
	readonly isRecent: () => boolean;
	/** Returns a source that also lets the keeper learn from what is read. */
	readonly observe: (source: RouteSource) => RouteSource;
	/** Shares proofs with the other nodes from now on. */
	readonly attach: (membership: ProofMembership) => void;
	/** What this node tells others about the table's clock, as a header. */
	readonly describeStoreClock: () => string | undefined;
	/** Age of the proof in milliseconds; infinite without one. */
	readonly age: () => number;
	readonly countRefusals: () => number;
	readonly close: () => void;
};

/** Longest time without a look at whether a question is due. */
const longestPauseMilliseconds = 500;
const shortestPauseMilliseconds = 10;

/**
 * Creates a keeper and starts it.
 *
 * @param options the table, the routes, the clock and the log
 * @returns the keeper
 */
export function createProofKeeper(options: ProofKeeperOptions): ProofKeeper {
	const {holder, log, steadyTime, random} = options;
	const {revocationMilliseconds, configurationMilliseconds} = options;
	const limitMilliseconds = chooseQuestionLimit(options);
	const proven = createProvenRoutes();
	let membership: ProofMembership | undefined;
	let position: TablePosition | undefined;
	let timer: NodeJS.Timeout | undefined;
	let isClosed = false;
	let isAskingTable = false;
	let isAskingPeer = false;
	let wasRecent = false;
	let refusals = 0;
	let jitter = random();
	let jitterOf: number | undefined;
	let failures = 0;
	let failedAt = 0;
	let answeredAt = steadyTime();
	let tableAskedAt = Number.NEGATIVE_INFINITY;
	let peerAskedAt = 0;

	const hasRoutes = (): boolean => holder.current() !== undefined;
	const activeVersion = (): number => holder.current()?.table.version ?? 0;

	/** Whether the age of the proof decides anything besides who asks the table next. */
	const isKeyLimited = (): boolean =>
		revocationMilliseconds !== undefined && (holder.current()?.teams.isRequired ?? false);

	function checkRecent(now: number): boolean {
		if (revocationMilliseconds === undefined || !isKeyLimited()) {
			return true;
		}

		const limits = {revocationMilliseconds, configurationMilliseconds};
		const isRecent = isProvenRecent(proven, activeVersion(), limits, now);
		if (isRecent !== wasRecent) {
			wasRecent = isRecent;
			const fields = {
				routesVersion: activeVersion(),
				knownVersion: proven.knownVersion,
				tableFailures: failures,
			};
			if (isRecent) {
				log.info('proof of the routes regained', fields);
			} else {
				log.warn('proof of the routes lost', fields);
			}
		}

		return isRecent;
	}

	/** Takes an answer of the table; its routes are activated first, so that the proof covers them. */
	function acceptReading(reading: RoutesReading, sentAt: number, isOwn: boolean): void {
		const {text, storeTime} = reading;
		const isReadable = text === undefined || holder.activate(text, 'table');
		position = isReadable ? reading.position : undefined;
		if (storeTime === undefined) {
			return;
		}

		const now = steadyTime();
		answeredAt = now;
		const {era} = reading.position;
		const version = isReadable ? holder.current()?.table.version : undefined;
		const answer = {era, sentAt, storeTime, version, isOwn};
		const proof = recordAnswer(proven, answer, now);
		if (proof !== undefined && hasRoutes()) {
			membership?.publishProof(routesTopic, proof);
		}

		checkRecent(now);
	}

	async function askTable(): Promise<void> {
		isAskingTable = true;
		jitter = random();
		const sentAt = steadyTime();
		const asked = {
			role: chooseRole(),
			ageMilliseconds: Math.round(ageOfProof(proven, activeVersion(), sentAt)),
			before: activeVersion(),
		};
		const reading = await options.source.check(position);
		isAskingTable = false;
		if (reading.isOk()) {
			failures = 0;
			tableAskedAt = sentAt;
			options.onReading(reading.value);
			acceptReading(reading.value, sentAt, true);
		} else if (
			reading.error.kind === routeSourceErrors.historyGone &&
			position !== undefined
		) {
			position = undefined;
		} else {
			failures += 1;
			failedAt = steadyTime();
		}

		log.info('table asked for a proof', {
			...asked,
			milliseconds: Math.round(steadyTime() - sentAt),
			failures,
			routesVersion: activeVersion(),
		});
		schedule();
	}

	async function askOtherNode(): Promise<void> {
		isAskingPeer = true;
		const askedAt = steadyTime();
		peerAskedAt = askedAt;
		const member = choosePeer();
		const answer = member && (await options.askPeer(member));
		isAskingPeer = false;
		if (answer !== undefined) {
			const now = steadyTime();
			const {era, storeTime} = answer;
			recordExchange(proven, {era, storeTime, sentAt: askedAt}, now);
			if (answer.proof !== undefined) {
				recordProof(proven, answer.proof, now);
			}

			checkRecent(now);
		}

		schedule();
	}

	/** Chooses an alive node of the own region if there is one. */
	function choosePeer(): Member | undefined {
		if (membership === undefined) {
			return undefined;
		}

		const {nodeId: ownId, region} = membership.self();
		const alive = membership
			.all()
			.filter(({nodeId, status}) => nodeId !== ownId && status === memberStatuses.alive);
		const near = alive.filter(member => member.region === region);
		const candidates = near.length > 0 ? near : alive;
		return candidates[Math.floor(random() * candidates.length)];
	}

	function chooseRole(): ProofRole {
		if (proven.isOwn) {
			return proofRoles.last;
		}

		return options.isPoller() ? proofRoles.poller : proofRoles.other;
	}

	function step(): void {
		if (hasRoutes()) {
			const now = steadyTime();
			checkRecent(now);
			const {tableAt, peerAt} = plan();
			if (tableAt <= now && !isAskingTable) {
				void askTable();
			}

			if (peerAt <= now && !isAskingPeer) {
				void askOtherNode();
			}
		}

		schedule();
	}

	/** When the table and another node are to be asked. */
	function plan(): {readonly tableAt: number; readonly peerAt: number} {
		const newestAt = newestProofAt(proven);
		if (newestAt !== jitterOf) {
			jitterOf = newestAt;
			jitter = random();
		}

		const shared = {limitMilliseconds, failures, jitter};
		return {
			tableAt: nextTableQuestionAt({
				...shared,
				role: chooseRole(),
				isKeyLimited: isKeyLimited(),
				provenAt: provenAtLocally(proven, activeVersion()),
				askedAt: tableAskedAt,
				failedAt,
				answeredAt,
			}),
			peerAt: isKeyLimited()
				? nextPeerQuestionAt({
						...shared,
						newestAt,
						needsBound: lacksBound(proven),
						askedAt: peerAskedAt,
					})
				: Number.POSITIVE_INFINITY,
		};
	}

	function schedule(): void {
		clearTimeout(timer);
		if (isClosed) {
			return;
		}

		let pause = longestPauseMilliseconds;
		if (hasRoutes()) {
			const {tableAt, peerAt} = plan();
			const dueAt = Math.min(
				isAskingTable ? Number.POSITIVE_INFINITY : tableAt,
				isAskingPeer ? Number.POSITIVE_INFINITY : peerAt,
			);
			pause = Math.min(pause, Math.max(shortestPauseMilliseconds, dueAt - steadyTime()));
		}

		timer = setTimeout(step, pause);
	}

	schedule();
	return {
		isRecent() {
			const isRecent = checkRecent(steadyTime());
			refusals += isRecent ? 0 : 1;
			return isRecent;
		},
		observe: source => ({
			async read() {
				const sentAt = steadyTime();
				const reading = await source.read();
				if (reading.isOk()) {
					acceptReading(reading.value, sentAt, false);
				}

				return reading;
			},
			async awaitChange(from, timeoutMilliseconds) {
				const sentAt = steadyTime();
				const change = await source.awaitChange(from, timeoutMilliseconds);
				if (change.isOk()) {
					acceptReading(change.value, sentAt, false);
				}

				return change;
			},
		}),
		attach(joined) {
			membership = joined;
			joined.onProof((topic, proof) => {
				if (topic === routesTopic) {
					const now = steadyTime();
					recordProof(proven, proof, now);
					checkRecent(now);
				}
			});
			joined.onVersion((topic, version) => {
				if (topic === routesTopic) {
					noteVersion(proven, version);
				}
			});
			const known = joined.proofOf(routesTopic);
			if (known !== undefined) {
				recordProof(proven, known, steadyTime());
			}

			noteVersion(proven, joined.versionOf(routesTopic) ?? 0);
			if (proven.newest !== undefined && hasRoutes()) {
				joined.publishProof(routesTopic, proven.newest);
			}
		},
		describeStoreClock() {
			const {bound, newest: proof} = proven;
			if (bound === undefined || !hasRoutes()) {
				return undefined;
			}

			const storeTime = latestTime(bound, steadyTime());
			return formatKnowledge({era: bound.era, storeTime, proof});
		},
		age: () => ageOfProof(proven, activeVersion(), steadyTime()),
		countRefusals: () => refusals,
		close() {
			isClosed = true;
			clearTimeout(timer);
		},
	};
}
