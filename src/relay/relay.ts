/**
 * A relay node from start to stop: binds its parts' listeners, follows members and routes, and stops
 * in order.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {Effect, type Scope} from 'effect';
import {closeToNewConnections} from '../http/index.js';
import type {EventLog} from '../log/index.js';
import {
	createMembership,
	createSeedTable,
	memberStatuses,
	type Membership,
	type MembershipError,
} from '../membership/index.js';
import type {PlatformAdapter} from './adapter.js';
import {bindListeners, type ListenError} from './listeners.js';
import {createComponents, now, type RelayComponents} from './components.js';
import {followRoutes} from './routes-follower.js';
import {followPeerRoutes} from './peer-routes.js';
import type {RelaySettings} from './settings.js';
import {decideStopStep, computeStopDeadline, stopSteps} from './stop.js';

/** A relay that runs. */
export type RunningRelay = {
	/** Stops as planned; resolves once nothing is in flight. */
	readonly stop: () => Promise<void>;
	readonly dump: () => Record<string, unknown>;
};

/** Why a relay did not start. */
export type RelayStartError = MembershipError | ListenError;

/**
 * Restarts are frequent and a restarted node serves by its own gate alone until it knows the
 * others, so it looks for them more often than a node of a mesh that seldom changes.
 */
const membershipParameters = {
	reconnectIntervalMilliseconds: 1000,
	joinTimeoutMilliseconds: 500,
	settleMilliseconds: 100,
	joinIntervalMilliseconds: 200,
	gossipIntervalMilliseconds: 100,
	/** What a node may spend on control. */
	bytesPerSecond: 8192,
	burstBytes: 16_384,
};
const stopCheckMilliseconds = 50;

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
	adapter: PlatformAdapter,
	log: EventLog,
): Effect.Effect<RunningRelay, RelayStartError, Scope.Scope> {
	return Effect.gen(function* () {
		const incarnation = Date.now();
		const parts = createComponents(settings, adapter, log, incarnation);
		const servers = yield* bindListeners(settings, adapter, log, parts);
		const socket = yield* Effect.promise(async () => parts.openSocket());
		const follower = followRoutes({
			source: adapter.routeSource,
			holder: parts.routesHolder,
			log,
			isPoller: parts.isPoller,
			random: Math.random,
		});
		const membership = yield* joinMembership(settings, adapter, incarnation);
		parts.attachMembership(membership);
		const fromPeers = followPeerRoutes({
			holder: parts.routesHolder,
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

function joinMembership(
	settings: RelaySettings,
	adapter: PlatformAdapter,
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
		parameters: membershipParameters,
		...createSeedTable(adapter.table),
	});
}

async function stopRelay(
	settings: RelaySettings,
	parts: RelayComponents,
	membership: Membership,
	log: EventLog,
): Promise<void> {
	const startedAt = now();
	parts.startDraining(computeStopDeadline(startedAt, settings.stop.graceMilliseconds));
	log.info('node stopping', {inFlight: parts.callers.countInFlight()});
	let isDraining = false;
	for (;;) {
		const {running, waiting} = parts.gate.state();
		const step = decideStopStep({
			elapsedMilliseconds: now() - startedAt,
			graceMilliseconds: settings.stop.graceMilliseconds,
			inFlight: running + waiting + parts.callers.countInFlight(),
			idleMilliseconds: now() - parts.callers.lastRequestAt(),
		});
		if (step === stopSteps.end) {
			break;
		}

		if (step === stopSteps.drain && !isDraining) {
			isDraining = true;
			parts.gate.drain();
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
