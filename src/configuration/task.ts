/**
 * The task that owns a node's configuration. All events reach it through one queue; the effects
 * that the follower returns run concurrently, and their results come back as further events.
 */
import {Duration, Effect, Queue, Schedule, type Scope} from 'effect';
import {err, type Result} from 'neverthrow';
import {acceptChange, readConfiguration, type AcceptedChange} from './acceptance.js';
import {changeErrorKinds, type Change, type ChangeError} from './change.js';
import type {Configuration, ConfigurationOptions} from './configuration.js';
import {findServicePolicy, type ResolvedServicePolicy} from './document.js';
import {describeFollower} from './dump.js';
import {runEffect, type ConfigurationEvent} from './effects.js';
import {
	createFollower,
	type FollowerEffect,
	type FollowerState,
} from './follower-state.js';
import {
	handleReportedVersions,
	handleFetchFailure,
	handleStoreFailure,
	handleDocument,
	handlePeerAnswer,
	handleStoreRows,
	tick,
} from './follower.js';
import {getAppliedVersion, type AppliedDocument} from './applied-documents.js';
import {createPeerService, type PeerService} from './peer-service.js';
import {findUnreadinessReason} from './readiness.js';
import {configurationKeyPrefix, toDocumentVersion, toTeamName} from './stored.js';
import {createFleetViewCache, type FleetViewCache} from './fleet-view.js';

const tickMilliseconds = 100;

type TaskContext = {
	readonly options: ConfigurationOptions;
	readonly state: FollowerState;
	readonly peerService: PeerService;
	readonly getFleetView: FleetViewCache;
	readonly listeners: Array<(document: AppliedDocument) => void>;
	readonly policyCache: Map<string, ResolvedServicePolicy | undefined>;
	appliedDocuments: readonly AppliedDocument[];
};

/**
 * Follows the configuration until the scope closes.
 *
 * @param options the node's table, peers and gossip
 * @returns the configuration, initially without documents
 */
export function createConfiguration(
	options: ConfigurationOptions,
): Effect.Effect<Configuration, never, Scope.Scope> {
	return Effect.gen(function* () {
		const scope = yield* Effect.scope;
		const queue = yield* Queue.unbounded<ConfigurationEvent>();
		const context = createContext(options);
		options.onVersion((topic, version, nodeId) => {
			if (topic.startsWith(configurationKeyPrefix)) {
				const head = {team: toTeamName(topic), version};
				queue.unsafeOffer({kind: 'heard', head, nodeId});
			}
		});
		const startEffect = (effect: FollowerEffect) =>
			Effect.promise(async () => runEffect(effect, context.state, options)).pipe(
				Effect.tap(event => (event === undefined ? Effect.void : queue.offer(event))),
				Effect.forkIn(scope),
			);
		const handleNext = Queue.take(queue).pipe(
			Effect.map(event => handleEvent(context, event)),
			Effect.flatMap(effects => Effect.forEach(effects, startEffect, {discard: true})),
		);
		yield* Effect.forkScoped(Effect.forever(handleNext));
		yield* queue
			.offer({kind: 'tick'})
			.pipe(
				Effect.repeat(Schedule.spaced(Duration.millis(tickMilliseconds))),
				Effect.forkScoped,
			);
		return createInterface(context, event => {
			queue.unsafeOffer(event);
		});
	});
}

function createContext(options: ConfigurationOptions): TaskContext {
	const state = createFollower();
	return {
		options,
		state,
		peerService: createPeerService(state),
		getFleetView: createFleetViewCache(options),
		listeners: [],
		policyCache: new Map(),
		appliedDocuments: [],
	};
}

/** Passes the event to the follower and announces the documents that it applied. */
function handleEvent(context: TaskContext, event: ConfigurationEvent): FollowerEffect[] {
	const effects = dispatch(context, event);
	for (const effect of effects) {
		if (effect.kind === 'publish') {
			announceApplied(context, effect.head.team);
		}
	}

	return effects;
}

function dispatch(context: TaskContext, event: ConfigurationEvent): FollowerEffect[] {
	const {state, options} = context;
	const now = options.now();
	const times = {now, wallClock: options.wallClock()};
	switch (event.kind) {
		case 'tick': {
			return tick(state, context.getFleetView(), now, options.random);
		}

		case 'heard': {
			return handleReportedVersions(
				state,
				[event.head],
				{kind: 'peer', nodeId: event.nodeId},
				now,
			);
		}

		case 'storeRows': {
			if (event.rows === undefined) {
				handleStoreFailure(state);
				return [];
			}

			handleStoreRows(state, event.rows, now);
			return [];
		}

		case 'peerAnswer': {
			return handlePeerAnswer(state, event.answer, now);
		}

		case 'fetched': {
			if (event.documentVersion === undefined) {
				handleFetchFailure(state, event.head.team, now);
				return [];
			}

			return handleDocument(state, event.documentVersion, event.source.kind, times);
		}

		case 'accepted': {
			return handleDocument(state, event.documentVersion, 'store', times);
		}
	}
}

function announceApplied(context: TaskContext, team: string): void {
	const {applied} = context.state;
	const appliedDocument = applied.byTeam.get(team);
	context.appliedDocuments = [...applied.byTeam.values()].toSorted((left, right) =>
		left.team < right.team ? -1 : 1,
	);
	context.policyCache.clear();
	if (appliedDocument === undefined) {
		return;
	}

	const {version, changeId, document} = appliedDocument;
	const {inForce} = document;
	context.options.log.info('configuration in force', {team, version, changeId, inForce});
	context.peerService.answerWaiting(team);
	for (const listener of context.listeners) {
		listener(appliedDocument);
	}
}

function createInterface(
	context: TaskContext,
	enqueue: (event: ConfigurationEvent) => void,
): Configuration {
	const {options, state} = context;
	return {
		appliedDocuments: () => context.appliedDocuments,
		findServicePolicy: serviceName => findCachedPolicy(context, serviceName),
		subscribe(listener) {
			context.listeners.push(listener);
		},
		findUnreadiness: () => findUnreadinessReason(state, context.getFleetView()),
		async change(change) {
			const result = await commitChange(context, change);
			if (result.isOk()) {
				const {stored, rowVersion} = result.value;
				enqueue({
					kind: 'accepted',
					documentVersion: toDocumentVersion(stored, rowVersion),
				});
			}

			return result;
		},
		async readStored(team) {
			const {table} = options;
			return table === undefined
				? err(createNoTableError())
				: readConfiguration(table, team);
		},
		async fetchHeads(member) {
			const comparison = await options.peers.compare(member, '');
			return comparison?.heads;
		},
		service: context.peerService.service,
		counters: () => state.counters,
		dump: () => describeFollower(state, context.getFleetView()),
	};
}

/** Callers can send any service name, so only names found in a document are cached. */
function findCachedPolicy(
	context: TaskContext,
	serviceName: string,
): ResolvedServicePolicy | undefined {
	const cached = context.policyCache.get(serviceName);
	if (cached !== undefined) {
		return cached;
	}

	const documents = context.appliedDocuments.map(applied => applied.document);
	const found = findServicePolicy(documents, serviceName);
	if (found !== undefined) {
		context.policyCache.set(serviceName, found);
	}

	return found;
}

async function commitChange(
	{options, state}: TaskContext,
	change: Change,
): Promise<Result<AcceptedChange, ChangeError>> {
	const {table, wallClock} = options;
	if (table === undefined) {
		return err(createNoTableError());
	}

	const highestKnownVersion = Math.max(
		getAppliedVersion(state.applied, change.team),
		state.pendingVersions.get(change.team)?.version ?? 0,
	);
	return acceptChange(change, {table, highestKnownVersion, clock: wallClock});
}

function createNoTableError(): ChangeError {
	const message =
		'this node has no table; configure the platform in its settings, or use another node';
	return {kind: changeErrorKinds.storeUnavailable, message};
}
