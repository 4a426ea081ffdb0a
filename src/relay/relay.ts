/**
 * A relay node from start to stop: creates the parts, binds their listeners, follows members and
 * routes, and stops in order.
 */
import {createServer, type Server} from 'node:http';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {Effect, type Scope} from 'effect';
import {formatIngress} from '../call/index.js';
import {closeToNewConnections} from '../http/index.js';
import type {EventLog} from '../log/index.js';
import {
	createMeasuringMeter,
	trySpend,
	type MeasuringMeter,
	type MeasuringUse,
} from '../measuring/index.js';
import {
	createMembership,
	createSeedTable,
	isPoller,
	memberStatuses,
	type Membership,
	type MembershipError,
} from '../membership/index.js';
import {createInboundLink} from '../waiting/index.js';
import type {Adapter} from './adapter.js';
import {createRelayRunner} from './call-runner.js';
import {createCallerListener, type CallerListener} from './caller-listener.js';
import {createRelayGate} from './gate.js';
import type {RelayGate} from './gate-surface.js';
import {openGateSocket, type GateSocket} from './gate-socket.js';
import {createRelayMetrics, type RelayMetrics} from './metrics.js';
import {createRelayPeerListener} from './peer-listener.js';
import {createPeers} from './peers.js';
import {createPlacer} from './placer.js';
import {followRoutes} from './routes-follower.js';
import {routesTopic, takeRoutesFromPeers} from './routes-from-peers.js';
import {createRoutesHolder, type RoutesHolder} from './routes-in-force.js';
import {splitAddress, type RelaySettings} from './settings.js';
import {decideStopStep, findEnd, stopSteps} from './stop.js';

/** A relay that runs. */
export type RunningRelay = {
	/** Stops as planned; resolves once nothing is in flight. */
	readonly stop: () => Promise<void>;
	readonly dump: () => Record<string, unknown>;
};

/** Why a relay did not start. */
export type RelayStartError =
	MembershipError | {readonly kind: 'listen-failed'; readonly message: string};

/**
 * Restarts are frequent and a restarted node serves by its own gate alone until it knows the
 * others, so it looks for them more often than a node of a mesh that seldom changes.
 */
const relayParameters = {
	reconnectIntervalMilliseconds: 1000,
	joinTimeoutMilliseconds: 500,
	settleMilliseconds: 100,
	joinIntervalMilliseconds: 200,
	gossipIntervalMilliseconds: 100,
	/** What a node may spend on control. */
	bytesPerSecond: 8192,
	burstBytes: 16_384,
};
/** Upper bound of what one datagram takes to encode or decode, in microseconds. */
const datagramMicroseconds = 20;
/** Nodes that follow the routes in each failure domain; the domains stand in for each other. */
const pollersPerDomain = 1;
/** Time in which a started node learns of the others, so that not all of them poll meanwhile. */
const pollerSettleMilliseconds = 2000;
const stopCheckMilliseconds = 50;
const answerWeight = 0.1;

const now = (): number => performance.now();

/**
 * Starts a relay for as long as the scope lives.
 *
 * @param settings checked settings
 * @param adapter the platform that it runs on
 * @param log the event log
 * @returns the relay, listening
 */
export function startRelay(
	settings: RelaySettings,
	adapter: Adapter,
	log: EventLog,
): Effect.Effect<RunningRelay, RelayStartError, Scope.Scope> {
	return Effect.gen(function* () {
		const incarnation = Date.now();
		const parts = createParts(settings, adapter, log, incarnation);
		const servers = yield* listenAll(settings, adapter, log, parts);
		const socket = yield* Effect.promise(async () => parts.openSocket());
		const follower = followRoutes({
			source: adapter.routeSource,
			holder: parts.holder,
			log,
			isPoller: parts.isPoller,
			random: Math.random,
		});
		const membership = yield* joinRelays(settings, adapter, incarnation);
		parts.attach(membership);
		const fromPeers = takeRoutesFromPeers({
			holder: parts.holder,
			membership,
			log,
			random: Math.random,
		});
		yield* Effect.addFinalizer(() =>
			Effect.sync(() => {
				follower.close();
				fromPeers.close();
				parts.close();
				socket.close();
				adapter.table.close();
				for (const server of servers) {
					server.closeAllConnections();
					server.close();
				}
			}),
		);
		log.info('node started', {incarnation, members: membership.all().length});
		return {
			stop: async () => stopRelay(settings, parts, membership, log),
			dump: parts.dump,
		};
	});
}

type Parts = {
	readonly gate: RelayGate;
	readonly callers: CallerListener;
	readonly peerListener: Server;
	readonly holder: RoutesHolder;
	readonly metrics: RelayMetrics;
	readonly attach: (membership: Membership) => void;
	readonly openSocket: () => Promise<GateSocket>;
	readonly isReady: () => boolean;
	/** Whether this node follows the table for its failure domain. */
	readonly isPoller: () => boolean;
	/** Callers are told, and refused what may last beyond the monotonic time of the end. */
	readonly setLeaving: (endsAt: number) => void;
	readonly dump: () => Record<string, unknown>;
	readonly close: () => void;
};

function createParts(
	settings: RelaySettings,
	adapter: Adapter,
	log: EventLog,
	incarnation: number,
): Parts {
	const {node, server, listeners} = settings;
	const {dialect} = adapter;
	const meter = createMeasuringMeter(settings.measuring);
	const answerBytes = new Map<string, number>();
	const createdAt = now();
	const inboundLink = createInboundLink(node.linkMegabitsPerSecond);
	let membership: Membership | undefined;
	let socket: GateSocket | undefined;
	let leaving = false;
	const membersOf = (service: string) => membership?.membersOf(service) ?? [];
	const metrics = createRelayMetrics({
		gate: () => gate.state(),
		routesVersion: () => holder.current()?.table.version ?? 0,
		members: () => membership?.all().length ?? 0,
		droppedLines: log.countDropped,
		dump: () => dump(),
	});
	const gate = createRelayGate({
		dialect,
		log,
		now,
		random: Math.random,
		server: {...splitAddress(server.address), service: server.service},
		maximumConnections: server.maximumConnections,
		inboundLink,
		healthPath: () =>
			holder.current()?.table.services.find(({name}) => name === server.service)
				?.healthPath,
		probesPerSecond: settings.measuring.probesPerSecond,
		repeats: settings.repeats,
		countGates: () => Math.max(1, membersOf(server.service).length),
		onSlots(slots) {
			membership?.updateSelf({service: slots > 0 ? server.service : undefined, slots});
		},
		onEnd: metrics.noteGateEnd,
	});
	const holder = createRoutesHolder({
		decode: adapter.decodeRoutes,
		log,
		now,
		onChange(version) {
			membership?.publishVersion(routesTopic, version);
			gate.discover();
		},
	});
	const askingSocket = {
		askLoad: async (...question: Parameters<GateSocket['askLoad']>) =>
			socket?.askLoad(...question),
		askCancel: async (...question: Parameters<GateSocket['askCancel']>) =>
			socket?.askCancel(...question),
	};
	const peers = createPeers({socket: askingSocket, log, now});
	const placer = createPlacer({
		place: {nodeId: node.id, region: node.region, failureDomain: node.failureDomain},
		gate,
		socket: askingSocket,
		membersOf,
		costs: settings.costs,
		now,
		random: Math.random,
		answerBytes: route => answerBytes.get(route) ?? 0,
	});
	const callers = createCallerListener({
		dialect,
		log,
		routes: holder.current,
		run: createRelayRunner({
			ingressName: formatIngress(node.id, incarnation),
			nodeId: node.id,
			gate,
			peers,
			placer,
			log,
			now,
			random: Math.random,
			wallClock: Date.now,
		}),
		service: server.service,
		runsCallerOf: gate.runsCallerOf,
		inboundLink,
		now,
		onEnd(end) {
			const known = answerBytes.get(end.route) ?? end.bytes;
			answerBytes.set(end.route, known + (end.bytes - known) * answerWeight);
			metrics.noteCall(end);
		},
	});
	const dump = (): Record<string, unknown> => ({
		node: {...node, incarnation, leaving},
		gate: gate.state(),
		routesVersion: holder.current()?.table.version,
		routesSince: holder.current()?.since,
		callersInFlight: callers.countInFlight(),
		members: membership?.all(),
		membership: membership?.dump(),
		measuring: meter.totals,
		droppedLines: log.countDropped(),
	});
	return {
		gate,
		callers,
		holder,
		metrics,
		dump,
		peerListener: createRelayPeerListener({
			run: gate.run,
			routes: () => holder.current()?.text,
			inboundLink,
			now,
		}),
		attach(joined) {
			membership = joined;
			const inForce = holder.current();
			if (inForce) {
				joined.publishVersion(routesTopic, inForce.table.version);
			}

			const {accepting, server: announced} = gate.state();
			if (accepting) {
				joined.updateSelf({service: server.service, slots: announced?.slots ?? 0});
			}

			joined.subscribe((member, previous) => {
				if (member.status !== previous?.status || member.service !== previous.service) {
					const {nodeId, status, service, slots} = member;
					log.info('member changed', {
						member: nodeId,
						status,
						service,
						slots,
						incarnation: member.incarnation,
						before: previous?.status,
					});
				}
			});
		},
		async openSocket() {
			socket = await openGateSocket({
				address: {host: listeners.bind ?? listeners.host, port: listeners.peer},
				now,
				report: gate.report,
				cancelAttempt: gate.cancelAttempt,
				incarnation,
				spend: (use, bytes) => spend(meter, metrics, use, bytes),
				onError(error) {
					log.warn('datagram not sent', {reason: error.message});
				},
			});
			return socket;
		},
		isReady: () => !leaving && holder.current() !== undefined,
		isPoller: () =>
			now() - createdAt > pollerSettleMilliseconds &&
			isPoller(
				{nodeId: node.id, failureDomain: node.failureDomain},
				membership?.all() ?? [],
				pollersPerDomain,
			),
		setLeaving(endsAt) {
			leaving = true;
			callers.leave(endsAt);
		},
		close() {
			gate.close();
			peers.close();
		},
	};
}

function spend(
	meter: MeasuringMeter,
	metrics: RelayMetrics,
	use: MeasuringUse,
	bytes: number,
): boolean {
	const cost = {bytes, processorMicroseconds: datagramMicroseconds};
	const isGranted = trySpend(meter, use, cost, now());
	metrics.noteMeasuring(isGranted ? use : 'refused', bytes);
	return isGranted;
}

function joinRelays(
	settings: RelaySettings,
	adapter: Adapter,
	incarnation: number,
): Effect.Effect<Membership, MembershipError, Scope.Scope> {
	const {node, listeners} = settings;
	return createMembership({
		self: {
			nodeId: node.id,
			incarnation,
			host: listeners.host,
			peerPort: listeners.peer,
			controlPort: listeners.gossip,
			region: node.region,
			failureDomain: node.failureDomain,
			slots: 0,
		},
		listenHost: listeners.bind ?? listeners.host,
		seeds: settings.seeds,
		now,
		random: Math.random,
		parameters: relayParameters,
		...createSeedTable(adapter.table),
	});
}

function listenAll(
	settings: RelaySettings,
	adapter: Adapter,
	log: EventLog,
	parts: Parts,
): Effect.Effect<Server[], RelayStartError> {
	const {listeners} = settings;
	const own = (port: number) => ({host: listeners.bind ?? listeners.host, port});
	const bindings: ReadonlyArray<readonly [Server, {host: string; port: number}]> = [
		[parts.callers.server, splitAddress(listeners.callers)],
		[createReadinessListener(parts.isReady), splitAddress(listeners.readiness)],
		[
			adapter.createAnnouncementListener(parts.gate, log),
			splitAddress(listeners.announcements),
		],
		[parts.peerListener, own(listeners.peer)],
		[parts.metrics.listener, own(listeners.metrics)],
	];
	const binding = bindings.map(([server, {host, port}]) =>
		Effect.tryPromise({
			try: async () => bind(server, host, port),
			catch: (error): RelayStartError => ({
				kind: 'listen-failed',
				message: `cannot listen at ${host}:${port} (${String(error)}); set a free port of this VM`,
			}),
		}),
	);
	return Effect.all(binding);
}

async function bind(server: Server, host: string, port: number): Promise<Server> {
	return new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen({host, port, backlog: 1024}, () => {
			server.removeListener('error', reject);
			resolve(server);
		});
	});
}

function createReadinessListener(isReady: () => boolean): Server {
	return createServer((_request, response) => {
		response.writeHead(isReady() ? 200 : 503, {'content-length': '0'});
		response.end();
	});
}

async function stopRelay(
	settings: RelaySettings,
	parts: Parts,
	membership: Membership,
	log: EventLog,
): Promise<void> {
	const startedAt = now();
	parts.setLeaving(findEnd(startedAt, settings.stop.graceMilliseconds));
	log.info('node stopping', {inFlight: parts.callers.countInFlight()});
	let isDraining = false;
	for (;;) {
		const {running, waiting} = parts.gate.state();
		const step = decideStopStep({
			elapsedMilliseconds: now() - startedAt,
			graceMilliseconds: settings.stop.graceMilliseconds,
			inFlight: running + waiting + parts.callers.countInFlight(),
			quietMilliseconds: now() - parts.callers.lastRequestAt(),
		});
		if (step === stopSteps.end) {
			break;
		}

		if (step === stopSteps.drain && !isDraining) {
			isDraining = true;
			parts.gate.leave();
			void membership.leave();
		}

		await sleep(stopCheckMilliseconds);
	}

	await closeToNewConnections(parts.callers.server);
	const left = parts.callers.countInFlight();
	log.info('node stopped', {
		inFlight: left,
		milliseconds: Math.round(now() - startedAt),
		members: membership.all().filter(({status}) => status === memberStatuses.alive)
			.length,
	});
}
