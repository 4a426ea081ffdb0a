/**
 * A node from start to stop: creates the tasks, binds their listeners, and stops in order when
 * it is told to.
 */
import {performance} from 'node:perf_hooks';
import {Deferred, Duration, Effect, Schedule, type Scope} from 'effect';
import {formatIngress, headerNames} from '../call/index.js';
import type {Logger} from '../log/index.js';
import {
	createMeasuringBudget,
	measuringUses,
	trySpend,
	type MeasuringBudget,
} from '../measuring/index.js';
import type {Membership, MembershipError} from '../membership/index.js';
import type {Settings} from '../settings/index.js';
import {
	announcementLeaseMilliseconds,
	createAnnouncementListener,
	serverHealths,
	type ServerAnnouncement,
} from './announcement-listener.js';
import {listenForAdministration} from './administration.js';
import {createCallRunner, type RunCall} from './call-runner.js';
import {followConfiguration, type NodeConfiguration} from './configuration.js';
import {createGate, type Gate} from './gate.js';
import {createIngress, type Ingress} from './ingress.js';
import {
	createAttemptCanceller,
	createAttemptControlService,
	type AttemptCanceller,
} from './attempt-control.js';
import {createNodeKeys, type NodeKeys} from './keys.js';
import {listenForControl} from './control.js';
import {listen, type ListenError} from './listener.js';
import {joinMembership, openTableClient} from './membership.js';
import {createRequestQuarantine, type RequestQuarantine} from './request-quarantine.js';
import {createPeerClient, type PeerClient} from './peer-client.js';
import {createPeerListener} from './peer-listener.js';
import {defaultPolicies} from './policies.js';
import {createPolicyUpdater} from './policy-updater.js';
import {createRouter} from './router.js';
import {onStopSignal, stopNode} from './stop.js';

/** The ports that a node is bound to. */
export type NodePorts = {
	readonly data: number;
	readonly peer: number;
	readonly control: number;
	readonly local: number;
	readonly administration: number;
};

/** Why a node did not start. */
export type StartError = ListenError | MembershipError;

/** A node that listens. */
export type RunningNode = {
	readonly ports: NodePorts;
	/** Leaves in order; resolves once nothing is in flight. */
	readonly stop: Effect.Effect<void>;
};

/** The colon, the space and the line end of a header. */
const headerOverheadBytes = 4;
/** Upper bound of what encoding and decoding a load header takes. */
const loadHeaderMicroseconds = 5;

const now = (): number => performance.now();

/**
 * Starts a node for as long as the scope lives.
 *
 * @param settings checked settings
 * @param log where changes of state are logged
 * @param requestStop begins to leave as a stop signal does
 * @returns the node, listening
 */
export function startNode(
	settings: Settings,
	log: Logger,
	requestStop: () => void,
): Effect.Effect<RunningNode, StartError, Scope.Scope> {
	return Effect.gen(function* () {
		const incarnation = Date.now();
		const table = yield* openTableClient(settings);
		const membership = yield* joinMembership(settings, incarnation, table);
		const following = yield* followConfiguration({settings, membership, table, log});
		const gate = createGate({
			now,
			policy: defaultPolicies,
			onServerGone(server) {
				announcements.removeServer(server);
			},
		});
		const meter = createMeasuringBudget(defaultPolicies.measuring);
		const peers = createPeerClient(now);
		const canceller = createAttemptCanceller();
		const crashWatch = createRequestQuarantine(membership, log, now);
		const runCall = createNodeRunner({
			crashWatch,
			following,
			membership,
			gate,
			peers,
			canceller,
		});
		const keys = createNodeKeys({
			settings,
			membership,
			table,
			runCall,
			sendToHome: peers.sendToHome,
			now,
			log,
		});
		const ingress = createNodeIngress(following, runCall, keys);
		const policies = createPolicyUpdater(following, gate, meter);
		const announcements = createAnnouncementListener({
			now,
			onChange(announced) {
				applyAnnouncement(announced, gate, membership, log);
				policies.setService(announced?.server.service);
			},
		});
		const peerListener = createPeerListener({
			run: gate.run,
			trySpendOnLoadHeader: load => trySpendOnHeader(meter, load),
			runKeyedCall: keys.runAtHome,
			now,
		});
		const {host} = settings.node;
		const ports = {
			data: yield* listen(ingress.server, host, settings.listeners.data),
			peer: yield* listen(peerListener, host, settings.listeners.peer),
			control: yield* listenForControl(
				[
					createAttemptControlService(membership.self, gate.cancelAttempt),
					following.configuration.service,
				],
				host,
				settings.listeners.control,
			),
			local: yield* listen(announcements.server, host, settings.listeners.local),
			administration: yield* listenForAdministration({
				settings,
				membership,
				nodeConfiguration: following,
				log,
				dumps: {
					gate: gate.state,
					ingress: ingress.state,
					keys: keys.state,
					quarantine: crashWatch.state,
				},
				requestStop,
				issueKeys: keys.issueMany,
			}),
		};
		yield* expireRegularly(announcements.expire);
		yield* Effect.addFinalizer(() =>
			Effect.sync(() => {
				gate.close();
				peers.close();
				canceller.close();
			}),
		);
		log.info('node started', {nodeId: settings.node.id, incarnation, ...ports});
		return {ports, stop: stopNode({ingress, gate, keys, membership, log})};
	});
}

/**
 * Runs a node until a stop signal arrives.
 *
 * @param settings checked settings
 * @param log where changes of state are logged
 * @param onStarted is called with the bound ports
 */
export function runNode(
	settings: Settings,
	log: Logger,
	onStarted: (ports: NodePorts) => void,
): Effect.Effect<void, StartError> {
	return Effect.scoped(
		Effect.gen(function* () {
			const stopRequested = yield* Deferred.make<void>();
			yield* onStopSignal(stopRequested);
			const node = yield* startNode(settings, log, () => {
				Deferred.unsafeDone(stopRequested, Effect.void);
			});
			onStarted(node.ports);
			yield* Deferred.await(stopRequested);
			yield* node.stop;
		}),
	);
}

type RunnerParts = {
	readonly crashWatch: RequestQuarantine;
	readonly following: NodeConfiguration;
	readonly membership: Membership;
	readonly gate: Gate;
	readonly peers: PeerClient;
	readonly canceller: AttemptCanceller;
};

function createNodeRunner(parts: RunnerParts): RunCall {
	const {crashWatch, following, membership, gate, peers, canceller} = parts;
	const self = membership.self();
	const router = createRouter({
		location: {
			nodeId: self.nodeId,
			region: self.region,
			failureDomain: self.failureDomain,
		},
		membersOf: membership.membersOf,
		findPolicies: following.findPolicies,
		now,
		random: Math.random,
	});
	return createCallRunner({
		ingressName: formatIngress(self.nodeId, self.incarnation),
		wallClock: Date.now,
		now,
		chooseMember: router.chooseMember,
		send(member, request) {
			const running =
				member.nodeId === self.nodeId ? gate.run(request) : peers.send(member, request);
			return router.observeAttempt(member, request.service, running);
		},
		confirmNotRun: canceller.confirmNotRun,
		quarantine: crashWatch,
		grantRetry: router.grantRetry,
	});
}

/** A call that may repeat runs at once; any other goes to the home of its key. */
function createNodeIngress(
	following: NodeConfiguration,
	runCall: RunCall,
	keys: NodeKeys,
): Ingress {
	const {findPolicy, findUnreadiness} = following;
	return createIngress({
		now,
		findPolicy,
		findUnreadiness,
		runCall: request =>
			request.head.idempotent
				? runCall(request)
				: {result: keys.run(request), cancel: keepRunning},
		handleNodeRequest: keys.handleKeyRequest,
	});
}

/** A keyed call outlives its caller: the answer is kept for the next sending. */
function keepRunning(): void {
	// Nothing to cancel.
}

/** The load header on an answer is paid from the measuring budget, or left out. */
function trySpendOnHeader(meter: MeasuringBudget, load: string): boolean {
	const bytes = headerNames.load.length + load.length + headerOverheadBytes;
	const cost = {bytes, processorMicroseconds: loadHeaderMicroseconds};
	return trySpend(meter, measuringUses.answerHeader, cost, now());
}

function applyAnnouncement(
	announced: ServerAnnouncement | undefined,
	gate: Gate,
	membership: Membership,
	log: Logger,
): void {
	const serving =
		announced?.health === serverHealths.serving ? announced.server : undefined;
	const previous = membership.self();
	gate.setServer(serving);
	if (previous.service === serving?.service && previous.slots === (serving?.slots ?? 0)) {
		return;
	}

	membership.updateSelf({service: serving?.service, slots: serving?.slots ?? 0});
	log.info('server changed', {server: serving?.name, service: serving?.service});
}

function expireRegularly(expire: () => void): Effect.Effect<void, never, Scope.Scope> {
	const interval = Duration.millis(announcementLeaseMilliseconds / 10);
	return Effect.sync(expire).pipe(
		Effect.repeat(Schedule.spaced(interval)),
		Effect.forkScoped,
		Effect.asVoid,
	);
}
