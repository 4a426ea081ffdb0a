/**
 * Creates and connects the components of a relay node: gate, caller listener, peer client, placer,
 * routes and metrics. They share one clock, one log and the membership, which is attached last.
 */
import type {Server} from 'node:http';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {formatIngress} from '../call/index.js';
import type {EventLog} from '../log/index.js';
import {createMeasuringBudget} from '../measuring/index.js';
import {isIsolated, isPoller, type Membership} from '../membership/index.js';
import {createInboundLink} from '../waiting/index.js';
import type {AnnouncementHandler, PlatformAdapter} from './adapter.js';
import {createAwaitedRoutes} from './awaited-routes.js';
import {createParentSearch} from './call-origin.js';
import {createCallerAdmission} from './caller-admission.js';
import {createRelayRunner} from './call-runner.js';
import {createCrashQuarantine} from './crash-quarantine.js';
import {createCallerListener, type CallerListener} from './caller-listener.js';
import {countGates} from './count-gates.js';
import {createRelayGate} from './gate.js';
import type {RelayGate} from './gate-types.js';
import {createNodeAllowances} from './node-allowances.js';
import {openGateSocket, type GateSocket} from './gate-socket.js';
import {findLinkPart} from './link-part.js';
import {createDatagramBudget} from './datagram-budget.js';
import {createRelayMetrics, type RelayMetrics} from './metrics.js';
import {createRelayPeerListener} from './peer-listener.js';
import {createPeerClient} from './peer-client.js';
import {createEvacuationTracker} from './evacuation-tracker.js';
import {createPlacer} from './placer.js';
import {createRoundTrips} from './distances.js';
import {createLeaving} from './leaving.js';
import {createLeavingServers} from './leaving-servers.js';
import {askPeer} from './peer-proof.js';
import {createProofKeeper, type ProofKeeper} from './proof-keeper.js';
import {routesTopic} from './peer-routes.js';
import {createRoutesHolder, type RoutesHolder} from './active-routes.js';
import {createResidenceCheck} from './residence-check.js';
import type {RoutesReading} from './routes-follower.js';
import {splitAddress, type RelaySettings} from './settings.js';
import {createSteadyTime} from './steady-time.js';
import {createTableEra} from './table-era.js';

/** A started node does not poll before it has learned of the others, or all started nodes would poll. */
const pollerDelayMilliseconds = 2000;
const responseBytesWeight = 0.1;

/** Monotonic time in milliseconds; the clock of all components. */
export const now = (): number => performance.now();

/** The components that starting and stopping a node needs. */
export type RelayComponents = {
	readonly gate: RelayGate;
	readonly callers: CallerListener;
	readonly peerListener: Server;
	readonly routesHolder: RoutesHolder;
	readonly metrics: RelayMetrics;
	readonly proofKeeper: ProofKeeper;
	readonly attachMembership: (membership: Membership) => void;
	readonly openSocket: () => Promise<GateSocket>;
	readonly isReady: () => boolean;
	/** Whether this node polls the table for its failure domain. */
	readonly isPoller: () => boolean;
	/** Records the era in which the table answers. */
	readonly recordTableEra: (era: number) => void;
	/** Records what else than routes was read from the table. */
	readonly recordReading: (reading: RoutesReading) => void;
	readonly announcementHandler: AnnouncementHandler;
	/** Reports not ready, and refuses calls that may last beyond this monotonic time. */
	readonly startDraining: (endsAt: number) => void;
	readonly dump: () => Record<string, unknown>;
	readonly close: () => void;
};

/**
 * Creates the components; none of them listens yet.
 *
 * @param settings validated settings
 * @param adapter the platform that the node runs on
 * @param log the event log
 * @param incarnation incarnation of this node
 * @returns the components
 */
export function createComponents(
	settings: RelaySettings,
	adapter: PlatformAdapter,
	log: EventLog,
	incarnation: number,
): RelayComponents {
	const {node, server, listeners} = settings;
	const {protocol} = adapter;
	const serverAddress = splitAddress(server.address);
	const budget = createMeasuringBudget(settings.measuring);
	const meanResponseBytes = new Map<string, number>();
	const createdAt = now();
	const inboundLink = createInboundLink(node.linkMegabitsPerSecond);
	let membership: Membership | undefined;
	let socket: GateSocket | undefined;
	let leaving = false;
	const tableEra = createTableEra();
	const evacuations = createEvacuationTracker({
		log,
		onChange(domain) {
			if (domain === node.failureDomain) {
				gate.applyEvacuation();
			}
		},
	});
	const leavingServers = createLeavingServers({
		onLearned() {
			gate.applyLeaving();
		},
		now,
		sleep,
	});
	const ingressName = formatIngress(node.id, incarnation);
	const quarantine = createCrashQuarantine({nodeName: ingressName, log, now});
	const findService = () =>
		routesHolder.current()?.table.services.find(({name}) => name === server.service);
	const mayRunHere = createResidenceCheck({
		region: node.region,
		routes: () => routesHolder.current(),
		readTeamKey: headers => protocol.readCallerHeaders(headers).teamKey,
	});
	/** Whether this node is one of the pollers; undefined after a change of the members. */
	let isChosenPoller: boolean | undefined;
	const membersOf = (service: string) => membership?.membersOf(service) ?? [];
	const location = {
		nodeId: node.id,
		region: node.region,
		failureDomain: node.failureDomain,
	};
	const roundTrips = createRoundTrips(location);
	const leavingDomain =
		settings.placing.spill === 'on'
			? createLeaving({
					location,
					costs: settings.costs,
					roundTrips,
					linkMegabits: () => findLinkPart(settings, membership?.all() ?? []),
					now,
					random: Math.random,
				})
			: undefined;
	const metrics = createRelayMetrics({
		gate: () => gate.state(),
		routesVersion: () => routesHolder.current()?.table.version ?? 0,
		tableEra: tableEra.current,
		evacuatedDomains: () => evacuations.list().length,
		members: () => membership?.all().length ?? 0,
		quarantine: quarantine.state,
		proof:
			settings.teams.revocationMilliseconds === undefined
				? undefined
				: {
						age: () => proofKeeper.age(),
						countRefusals: () => proofKeeper.countRefusals(),
					},
		droppedLines: log.countDropped,
		roundTrips: roundTrips.list,
		leavingShares: () => leavingDomain?.shares() ?? new Map<string, number>(),
		dump: () => dump(),
	});
	const gate = createRelayGate({
		protocol,
		log,
		now,
		random: Math.random,
		server: {...serverAddress, service: server.service},
		maximumConnections: server.maximumConnections,
		inboundLink,
		coldRequestsPerSecond: () =>
			findService()?.coldRequestsPerSecond ?? Number.POSITIVE_INFINITY,
		isEvacuated: () => evacuations.isEvacuated(node.failureDomain),
		mayRunHere,
		healthPath: () => findService()?.healthPath,
		probesPerSecond: settings.measuring.probesPerSecond,
		quarantine,
		retryPolicy: settings.repeats,
		countGates: () => countGates(membership?.all() ?? [], server.service),
		onSlotsChanged(slots) {
			membership?.updateSelf({service: slots > 0 ? server.service : undefined, slots});
		},
		hasAnnouncedLeaving: leavingServers.isLeaving,
		onServerLeaving: leavingServers.record,
		onAttemptEnd: metrics.recordAttemptEnd,
	});
	const allowances = createNodeAllowances({
		nodeId: node.id,
		incarnation,
		windowMilliseconds: settings.teams.capWindowMilliseconds,
		membership: () => membership,
		socket: () => socket,
		log,
		now,
		onDecision: metrics.recordAllowance,
	});
	const awaitedRoutes = createAwaitedRoutes({
		version: () => routesHolder.current()?.table.version ?? 0,
		sleep,
	});
	const routesHolder = createRoutesHolder({
		decode: adapter.decodeRoutes,
		log,
		now,
		onChange(version) {
			membership?.publishVersion(routesTopic, version);
			awaitedRoutes.notify();
			gate.applyRoutes();
			allowances.updateTeams(routesHolder.current()?.table.teams ?? []);
			gate.discoverServer();
		},
	});
	const querySocket = {
		queryLoad: async (...query: Parameters<GateSocket['queryLoad']>) =>
			socket?.queryLoad(...query),
		requestCancellation: async (
			...query: Parameters<GateSocket['requestCancellation']>
		) => socket?.requestCancellation(...query),
	};
	const peers = createPeerClient({socket: querySocket, log, now});
	const placer = createPlacer({
		location,
		gate,
		socket: querySocket,
		membersOf,
		isEvacuated: evacuations.isEvacuated,
		findSuspectKey: quarantine.findSuspectKey,
		costs: settings.costs,
		roundTrips,
		leaving: leavingDomain,
		now,
		random: Math.random,
		responseBytes: route => meanResponseBytes.get(route) ?? 0,
		onPlaced: metrics.recordPlaced,
	});
	const callers = createCallerListener({
		protocol,
		log,
		routes: routesHolder.current,
		run: createRelayRunner({
			ingressName,
			quarantine,
			nodeId: node.id,
			gate,
			peers,
			placer,
			log,
			now,
			random: Math.random,
			wallClock: Date.now,
		}),
		admitCaller: createCallerAdmission({
			isRecent: () => proofKeeper.isRecent(),
		}),
		spendAllowance: allowances.spend,
		returnAllowance: allowances.giveBack,
		service: server.service,
		findParent: createParentSearch({gate, serverHost: serverAddress.host}),
		inboundLink,
		now,
		onCallEnd(end) {
			const mean = meanResponseBytes.get(end.route) ?? end.bytes;
			meanResponseBytes.set(end.route, mean + (end.bytes - mean) * responseBytesWeight);
			metrics.recordCall(end);
		},
	});
	const {revocationMilliseconds} = settings.teams;
	const proofKeeper = createProofKeeper({
		configurationMilliseconds: settings.configurationMilliseconds,
		revocationMilliseconds,
		source: adapter.proofSource,
		holder: routesHolder,
		log,
		isPoller: () => pollsTable(),
		askPeer,
		onReading(reading) {
			tableEra.record(reading.position.era);
			evacuations.record(reading);
		},
		steadyTime: createSteadyTime(),
		random: Math.random,
	});

	function pollsTable(): boolean {
		if (membership === undefined || now() - createdAt < pollerDelayMilliseconds) {
			return false;
		}

		isChosenPoller ??= isPoller(
			{nodeId: node.id, failureDomain: node.failureDomain},
			membership.all(),
			settings.pollersPerDomain,
		);
		return isChosenPoller || isIsolated(membership.lastPacketAt(), now());
	}

	const dump = (): Record<string, unknown> => ({
		node: {...node, incarnation, leaving},
		gate: gate.state(),
		routesVersion: routesHolder.current()?.table.version,
		routesSince: routesHolder.current()?.activeSince,
		proofAgeMilliseconds: proofKeeper.age(),
		tableEra: tableEra.current(),
		evacuatedDomains: evacuations.list(),
		callersInFlight: callers.countInFlight(),
		members: membership?.all(),
		membership: membership?.dump(),
		measuring: budget.bytesByUse,
		allowances: allowances.dump(),
		quarantine: quarantine.state(),
		leavingShares: Object.fromEntries(leavingDomain?.shares() ?? []),
		roundTrips: Object.fromEntries(roundTrips.list()),
		droppedLines: log.countDropped(),
	});
	return {
		gate,
		callers,
		routesHolder,
		metrics,
		proofKeeper,
		dump,
		peerListener: createRelayPeerListener({
			run: gate.run,
			routes() {
				const routes = routesHolder.current();
				return routes && {version: routes.table.version, text: routes.text};
			},
			awaitedRoutes,
			describeStoreClock: () => proofKeeper.describeStoreClock(),
			inboundLink,
			now,
		}),
		attachMembership(joined) {
			membership = joined;
			isChosenPoller = undefined;
			tableEra.attach(joined);
			evacuations.attach(joined);
			leavingServers.attach(joined);
			quarantine.attach(joined);
			proofKeeper.attach(joined);
			const routes = routesHolder.current();
			if (routes) {
				joined.publishVersion(routesTopic, routes.table.version);
			}

			const {accepting, server: announced} = gate.state();
			if (accepting) {
				joined.updateSelf({service: server.service, slots: announced?.slots ?? 0});
			}

			for (const member of joined.all()) {
				allowances.updateMember(member);
			}

			joined.onMemberChange((member, previous) => {
				isChosenPoller = undefined;
				allowances.updateMember(member);
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
				grantAllowance: allowances.grant,
				incarnation,
				trySpend: createDatagramBudget({budget, onSpend: metrics.recordMeasuring, now}),
				onError(error) {
					log.warn('datagram not sent', {reason: error.message});
				},
			});
			return socket;
		},
		isReady: () => !leaving && routesHolder.current() !== undefined,
		isPoller: pollsTable,
		recordTableEra: tableEra.record,
		recordReading: evacuations.record,
		announcementHandler: {
			handleAnnouncement: gate.handleAnnouncement,
			deregisterServer: gate.deregisterServer,
			leavingPassedOn: leavingServers.passedOn,
		},
		startDraining(endsAt) {
			leaving = true;
			callers.drain(endsAt);
		},
		close() {
			allowances.close();
			gate.close();
			proofKeeper.close();
			peers.close();
		},
	};
}
