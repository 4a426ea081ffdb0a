/**
 * Starts and stops a relay node: binds its listeners, joins the membership, follows the routes and
 * shuts down gracefully.
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
import {relayMembershipParameters} from './membership-parameters.js';
import {followRoutes} from './routes-follower.js';
import {followPeerRoutes} from './peer-routes.js';
import type {RelaySettings} from './settings.js';
import {decideStopStep, computeStopDeadline, stopSteps} from './stop.js';

/** A running relay. */
export type RunningRelay = {
	/** Stops gracefully; resolves once nothing is in flight or the grace period is over. */
	readonly stop: () => Promise<void>;
	readonly dump: () => Record<string, unknown>;
};

/** Why a relay did not start. */
export type RelayStartError = MembershipError | ListenError;

const stopCheckMilliseconds = 50;

/**
 * Starts a relay for as long as the scope lives.
 *
 * @param settings validated settings
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
		const components = createComponents(settings, adapter, log, incarnation);
		const servers = yield* bindListeners(settings, adapter, log, components);
		const socket = yield* Effect.promise(async () => components.openSocket());
		const follower = followRoutes({
			source: components.proofKeeper.observe(adapter.routeSource),
			holder: components.routesHolder,
			log,
			isPoller: components.isPoller,
			random: Math.random,
			onEra: components.recordTableEra,
			onReading: components.recordReading,
		});
		const membership = yield* joinMembership(settings, adapter, incarnation);
		components.attachMembership(membership);
		const peerRoutes = followPeerRoutes({
			holder: components.routesHolder,
			membership,
			log,
			random: Math.random,
		});
		yield* Effect.addFinalizer(() =>
			Effect.sync(() => {
				follower.close();
				peerRoutes.close();
				components.close();
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
			stop: async () => stopRelay(settings, components, membership, log),
			dump: components.dump,
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
		parameters: relayMembershipParameters,
		...createSeedTable(adapter.table),
	});
}

async function stopRelay(
	settings: RelaySettings,
	components: RelayComponents,
	membership: Membership,
	log: EventLog,
): Promise<void> {
	const startedAt = now();
	components.startDraining(
		computeStopDeadline(startedAt, settings.stop.graceMilliseconds),
	);
	log.info('node stopping', {inFlight: components.callers.countInFlight()});
	let isDraining = false;
	let isClosed = false;
	for (;;) {
		const {running, waiting} = components.gate.state();
		const step = decideStopStep({
			elapsedMilliseconds: now() - startedAt,
			graceMilliseconds: settings.stop.graceMilliseconds,
			inFlight: running + waiting + components.callers.countInFlight(),
			idleMilliseconds: now() - components.callers.lastRequestAt(),
			isClosed,
		});
		if (step === stopSteps.end) {
			break;
		}

		if (step === stopSteps.drain && !isDraining) {
			isDraining = true;
			components.gate.drain();
			void membership.leave();
		}

		if (step === stopSteps.close && !isClosed) {
			isClosed = true;
			components.startDraining(now());
		}

		await sleep(stopCheckMilliseconds);
	}

	await closeToNewConnections(components.callers.server);
	const remaining = components.callers.countInFlight();
	log.info('node stopped', {
		inFlight: remaining,
		milliseconds: Math.round(now() - startedAt),
		members: membership.all().filter(({status}) => status === memberStatuses.alive)
			.length,
	});
}
