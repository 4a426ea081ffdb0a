/**
 * The lifecycle of a node: creates its components, binds their listeners, and shuts down gracefully
 * on request.
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

/** The ports that a node listens on. */
export type NodePorts = {
	readonly data: number;
	readonly peer: number;
	readonly control: number;
	readonly local: number;
	readonly administration: number;
};

/** Why a node did not start. */
export type StartError = ListenError | MembershipError;

/** A started node. */
export type RunningNode = {
	readonly ports: NodePorts;
	/** Stops gracefully; resolves once nothing is in flight. */
	readonly stop: Effect.Effect<void>;
};

/** The colon, the space and the CRLF of a header line. */
const headerOverheadBytes = 4;
/** Upper bound of the time to encode and decode a load header. */
const loadHeaderMicroseconds = 5;

const now = (): number => performance.now();

/**
 * Starts a node; closing the scope closes its listeners and connections.
 *
 * @param settings validated settings
 * @param log where changes of state are logged
 * @param requestStop starts a graceful stop, as a stop signal does
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
		const nodeConfiguration = yield* followConfiguration({
			settings,
			membership,
			table,
			log,
		});
		const gate = createGate({
			now,
			policy: defaultPolicies,
			onServerGone(server) {
				announcementListener.removeServer(server);
			},
		});
		const measuringBudget = createMeasuringBudget(defaultPolicies.measuring);
		const peerClient = createPeerClient(now);
		const canceller = createAttemptCanceller();
		const quarantine = createRequestQuarantine(membership, log, now);
		const runCall = createNodeCallRunner({
			quarantine,
			nodeConfiguration,
			membership,
			gate,
			peerClient,
			canceller,
		});
		const keys = createNodeKeys({
			settings,
			membership,
			table,
			runCall,
			sendToHome: peerClient.sendToHome,
			now,
			log,
		});
		const ingress = createNodeIngress(nodeConfiguration, runCall, keys);
		const policyUpdater = createPolicyUpdater(nodeConfiguration, gate, measuringBudget);
		const announcementListener = createAnnouncementListener({
			now,
			onChange(announcement) {
				applyAnnouncement(announcement, gate, membership, log);
				policyUpdater.setService(announcement?.server.service);
			},
		});
		const peerListener = createPeerListener({
			run: gate.run,
			trySpendOnLoadHeader: load => trySpendOnLoadHeader(measuringBudget, load),
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
					nodeConfiguration.configuration.service,
				],
				host,
				settings.listeners.control,
			),
			local: yield* listen(announcementListener.server, host, settings.listeners.local),
			administration: yield* listenForAdministration({
				settings,
				membership,
				nodeConfiguration,
				log,
				dumps: {
					gate: gate.state,
					ingress: ingress.state,
					keys: keys.state,
					quarantine: quarantine.state,
				},
				requestStop,
				issueKeys: keys.issueMany,
			}),
		};
		yield* checkLeasePeriodically(announcementListener.expire);
		yield* Effect.addFinalizer(() =>
			Effect.sync(() => {
				gate.close();
				peerClient.close();
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
 * @param settings validated settings
 * @param log where changes of state are logged
 * @param onStarted called with the bound ports
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

type CallRunnerComponents = {
	readonly quarantine: RequestQuarantine;
	readonly nodeConfiguration: NodeConfiguration;
	readonly membership: Membership;
	readonly gate: Gate;
	readonly peerClient: PeerClient;
	readonly canceller: AttemptCanceller;
};

function createNodeCallRunner(components: CallRunnerComponents): RunCall {
	const {quarantine, nodeConfiguration, membership, gate, peerClient, canceller} =
		components;
	const self = membership.self();
	const router = createRouter({
		location: {
			nodeId: self.nodeId,
			region: self.region,
			failureDomain: self.failureDomain,
		},
		membersOf: membership.membersOf,
		findPolicies: nodeConfiguration.findPolicies,
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
				member.nodeId === self.nodeId
					? gate.run(request)
					: peerClient.send(member, request);
			return router.observeAttempt(member, request.service, running);
		},
		confirmNotRun: canceller.confirmNotRun,
		quarantine,
		grantRetry: router.grantRetry,
	});
}

/** Idempotent calls run through the call runner directly; others go to the home of their key. */
function createNodeIngress(
	nodeConfiguration: NodeConfiguration,
	runCall: RunCall,
	keys: NodeKeys,
): Ingress {
	const {findPolicy, findUnreadiness} = nodeConfiguration;
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

/** A keyed call continues when its caller disconnects: the response is stored for the key. */
function keepRunning(): void {
	// Nothing to cancel.
}

/** Charges a load header to the measuring budget; false if the budget does not cover it. */
function trySpendOnLoadHeader(measuringBudget: MeasuringBudget, load: string): boolean {
	const bytes = headerNames.load.length + load.length + headerOverheadBytes;
	const cost = {bytes, processorMicroseconds: loadHeaderMicroseconds};
	return trySpend(measuringBudget, measuringUses.answerHeader, cost, now());
}

function applyAnnouncement(
	announcement: ServerAnnouncement | undefined,
	gate: Gate,
	membership: Membership,
	log: Logger,
): void {
	const server =
		announcement?.health === serverHealths.serving ? announcement.server : undefined;
	const previous = membership.self();
	gate.setServer(server);
	if (previous.service === server?.service && previous.slots === (server?.slots ?? 0)) {
		return;
	}

	membership.updateSelf({service: server?.service, slots: server?.slots ?? 0});
	log.info('server changed', {server: server?.name, service: server?.service});
}

function checkLeasePeriodically(
	expire: () => void,
): Effect.Effect<void, never, Scope.Scope> {
	const interval = Duration.millis(announcementLeaseMilliseconds / 10);
	return Effect.sync(expire).pipe(
		Effect.repeat(Schedule.spaced(interval)),
		Effect.forkScoped,
		Effect.asVoid,
	);
}
