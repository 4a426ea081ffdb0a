/**
 * The parts of a relay node and how they are joined: gate, callers, peers, placer, routes and
 * metrics share one clock, one log and one view of the members, which comes last.
 */
import type {Server} from 'node:http';
import {performance} from 'node:perf_hooks';
import {formatIngress} from '../call/index.js';
import type {EventLog} from '../log/index.js';
import {
	createMeasuringBudget,
	trySpend,
	type MeasuringBudget,
	type MeasuringUse,
} from '../measuring/index.js';
import {isPoller, type Membership} from '../membership/index.js';
import {createInboundLink} from '../waiting/index.js';
import type {PlatformAdapter} from './adapter.js';
import {createRelayRunner} from './call-runner.js';
import {createCallerListener, type CallerListener} from './caller-listener.js';
import {createRelayGate} from './gate.js';
import type {RelayGate} from './gate-types.js';
import {openGateSocket, type GateSocket} from './gate-socket.js';
import {createRelayMetrics, type RelayMetrics} from './metrics.js';
import {createRelayPeerListener} from './peer-listener.js';
import {createPeerClient} from './peer-client.js';
import {createPlacer} from './placer.js';
import {routesTopic} from './peer-routes.js';
import {createRoutesHolder, type RoutesHolder} from './active-routes.js';
import {splitAddress, type RelaySettings} from './settings.js';

/** Upper bound of what one datagram takes to encode or decode, in microseconds. */
const datagramMicroseconds = 20;
/** Time in which a started node learns of the others, so that not all of them poll meanwhile. */
const pollerDelayMilliseconds = 2000;
const responseBytesWeight = 0.1;

/** Monotonic time in milliseconds; the clock of all parts. */
export const now = (): number => performance.now();

/** What the life of a node needs of its parts. */
export type RelayComponents = {
	readonly gate: RelayGate;
	readonly callers: CallerListener;
	readonly peerListener: Server;
	readonly routesHolder: RoutesHolder;
	readonly metrics: RelayMetrics;
	readonly attachMembership: (membership: Membership) => void;
	readonly openSocket: () => Promise<GateSocket>;
	readonly isReady: () => boolean;
	/** Whether this node follows the table for its failure domain. */
	readonly isPoller: () => boolean;
	/** Callers are told, and refused what may last beyond the monotonic time of the end. */
	readonly startDraining: (endsAt: number) => void;
	readonly dump: () => Record<string, unknown>;
	readonly close: () => void;
};

/**
 * Creates the parts; none of them listens yet.
 *
 * @param settings checked settings
 * @param adapter the platform that the node runs on
 * @param log the event log
 * @param incarnation number of this life of the node
 * @returns the parts
 */
export function createComponents(
	settings: RelaySettings,
	adapter: PlatformAdapter,
	log: EventLog,
	incarnation: number,
): RelayComponents {
	const {node, server, listeners} = settings;
	const {protocol: dialect} = adapter;
	const meter = createMeasuringBudget(settings.measuring);
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
		protocol: dialect,
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
		retryPolicy: settings.repeats,
		countGates: () => Math.max(1, membersOf(server.service).length),
		onSlotsChanged(slots) {
			membership?.updateSelf({service: slots > 0 ? server.service : undefined, slots});
		},
		onAttemptEnd: metrics.recordAttemptEnd,
	});
	const holder = createRoutesHolder({
		decode: adapter.decodeRoutes,
		log,
		now,
		onChange(version) {
			membership?.publishVersion(routesTopic, version);
			gate.discoverServer();
		},
	});
	const askingSocket = {
		queryLoad: async (...question: Parameters<GateSocket['queryLoad']>) =>
			socket?.queryLoad(...question),
		requestCancellation: async (
			...question: Parameters<GateSocket['requestCancellation']>
		) => socket?.requestCancellation(...question),
	};
	const peers = createPeerClient({socket: askingSocket, log, now});
	const placer = createPlacer({
		location: {nodeId: node.id, region: node.region, failureDomain: node.failureDomain},
		gate,
		socket: askingSocket,
		membersOf,
		costs: settings.costs,
		now,
		random: Math.random,
		responseBytes: route => answerBytes.get(route) ?? 0,
	});
	const callers = createCallerListener({
		protocol: dialect,
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
		isParentRunning: gate.isParentRunning,
		inboundLink,
		now,
		onCallEnd(end) {
			const known = answerBytes.get(end.route) ?? end.bytes;
			answerBytes.set(end.route, known + (end.bytes - known) * responseBytesWeight);
			metrics.recordCall(end);
		},
	});
	const dump = (): Record<string, unknown> => ({
		node: {...node, incarnation, leaving},
		gate: gate.state(),
		routesVersion: holder.current()?.table.version,
		routesSince: holder.current()?.activeSince,
		callersInFlight: callers.countInFlight(),
		members: membership?.all(),
		membership: membership?.dump(),
		measuring: meter.bytesByUse,
		droppedLines: log.countDropped(),
	});
	return {
		gate,
		callers,
		routesHolder: holder,
		metrics,
		dump,
		peerListener: createRelayPeerListener({
			run: gate.run,
			routes: () => holder.current()?.text,
			inboundLink,
			now,
		}),
		attachMembership(joined) {
			membership = joined;
			const inForce = holder.current();
			if (inForce) {
				joined.publishVersion(routesTopic, inForce.table.version);
			}

			const {accepting, server: announced} = gate.state();
			if (accepting) {
				joined.updateSelf({service: server.service, slots: announced?.slots ?? 0});
			}

			joined.onMemberChange((member, previous) => {
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
				trySpend: (use, bytes) => spend(meter, metrics, use, bytes),
				onError(error) {
					log.warn('datagram not sent', {reason: error.message});
				},
			});
			return socket;
		},
		isReady: () => !leaving && holder.current() !== undefined,
		isPoller: () =>
			now() - createdAt > pollerDelayMilliseconds &&
			isPoller(
				{nodeId: node.id, failureDomain: node.failureDomain},
				membership?.all() ?? [],
				settings.pollersPerDomain,
			),
		startDraining(endsAt) {
			leaving = true;
			callers.drain(endsAt);
		},
		close() {
			gate.close();
			peers.close();
		},
	};
}

function spend(
	meter: MeasuringBudget,
	metrics: RelayMetrics,
	use: MeasuringUse,
	bytes: number,
): boolean {
	const cost = {bytes, processorMicroseconds: datagramMicroseconds};
	const isGranted = trySpend(meter, use, cost, now());
	metrics.recordMeasuring(isGranted ? use : 'refused', bytes);
	return isGranted;
}
