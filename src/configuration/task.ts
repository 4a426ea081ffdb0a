/**
 * The task that owns a node's configuration. Everything that happens reaches it as an event in
 * one queue; what the follower decides is carried out beside it and told as further events.
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

type Parts = {
	readonly options: ConfigurationOptions;
	readonly state: FollowerState;
	readonly peerService: PeerService;
	readonly surroundings: FleetViewCache;
	readonly listeners: Array<(held: AppliedDocument) => void>;
	readonly services: Map<string, ResolvedServicePolicy | undefined>;
	held: readonly AppliedDocument[];
};

/**
 * Follows the configuration for as long as the scope lives.
 *
 * @param options the node's table, peers and news
 * @returns the configuration, at first without a document
 */
export function createConfiguration(
	options: ConfigurationOptions,
): Effect.Effect<Configuration, never, Scope.Scope> {
	return Effect.gen(function* () {
		const scope = yield* Effect.scope;
		const queue = yield* Queue.unbounded<ConfigurationEvent>();
		const parts = createParts(options);
		options.onVersion((topic, version, nodeId) => {
			if (topic.startsWith(configurationKeyPrefix)) {
				const head = {team: toTeamName(topic), version};
				queue.unsafeOffer({kind: 'heard', head, nodeId});
			}
		});
		const start = (effect: FollowerEffect) =>
			Effect.promise(async () => runEffect(effect, parts.state, options)).pipe(
				Effect.tap(event => (event === undefined ? Effect.void : queue.offer(event))),
				Effect.forkIn(scope),
			);
		const handleNext = Queue.take(queue).pipe(
			Effect.map(event => handle(parts, event)),
			Effect.flatMap(effects => Effect.forEach(effects, start, {discard: true})),
		);
		yield* Effect.forkScoped(Effect.forever(handleNext));
		yield* queue
			.offer({kind: 'tick'})
			.pipe(
				Effect.repeat(Schedule.spaced(Duration.millis(tickMilliseconds))),
				Effect.forkScoped,
			);
		return describeConfiguration(parts, event => {
			queue.unsafeOffer(event);
		});
	});
}

function createParts(options: ConfigurationOptions): Parts {
	const state = createFollower();
	return {
		options,
		state,
		peerService: createPeerService(state),
		surroundings: createFleetViewCache(options),
		listeners: [],
		services: new Map(),
		held: [],
	};
}

/** Lets the follower decide, and tells of documents that came in force by it. */
function handle(parts: Parts, event: ConfigurationEvent): FollowerEffect[] {
	const effects = decide(parts, event);
	for (const effect of effects) {
		if (effect.kind === 'publish') {
			putInForce(parts, effect.head.team);
		}
	}

	return effects;
}

function decide(parts: Parts, event: ConfigurationEvent): FollowerEffect[] {
	const {state, options} = parts;
	const now = options.now();
	const times = {now, wallClock: options.wallClock()};
	switch (event.kind) {
		case 'tick': {
			return tick(state, parts.surroundings(), now, options.random);
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
			if (event.offer === undefined) {
				handleFetchFailure(state, event.head.team, now);
				return [];
			}

			return handleDocument(state, event.offer, event.source.kind, times);
		}

		case 'accepted': {
			return handleDocument(state, event.offer, 'store', times);
		}
	}
}

function putInForce(parts: Parts, team: string): void {
	const {applied: holding} = parts.state;
	const held = holding.byTeam.get(team);
	parts.held = [...holding.byTeam.values()].toSorted((left, right) =>
		left.team < right.team ? -1 : 1,
	);
	parts.services.clear();
	if (held === undefined) {
		return;
	}

	const {version, changeId, document} = held;
	const {inForce} = document;
	parts.options.log.info('configuration in force', {team, version, changeId, inForce});
	parts.peerService.answerWaiting(team);
	for (const listener of parts.listeners) {
		listener(held);
	}
}

function describeConfiguration(
	parts: Parts,
	tell: (event: ConfigurationEvent) => void,
): Configuration {
	const {options, state} = parts;
	return {
		appliedDocuments: () => parts.held,
		findServicePolicy: serviceName => findCached(parts, serviceName),
		subscribe(listener) {
			parts.listeners.push(listener);
		},
		findUnreadiness: () => findUnreadinessReason(state, parts.surroundings()),
		async change(change) {
			const result = await changeThroughTable(parts, change);
			if (result.isOk()) {
				const {stored, rowVersion} = result.value;
				tell({kind: 'accepted', offer: toDocumentVersion(stored, rowVersion)});
			}

			return result;
		},
		async readStored(team) {
			const {table} = options;
			return table === undefined ? err(createNoTable()) : readConfiguration(table, team);
		},
		async fetchHeads(member) {
			const comparison = await options.peers.compare(member, '');
			return comparison?.heads;
		},
		service: parts.peerService.service,
		counters: () => state.counters,
		dump: () => describeFollower(state, parts.surroundings()),
	};
}

/** Names that no document knows come from callers, so only known ones are kept. */
function findCached(
	parts: Parts,
	serviceName: string,
): ResolvedServicePolicy | undefined {
	const cached = parts.services.get(serviceName);
	if (cached !== undefined) {
		return cached;
	}

	const documents = parts.held.map(held => held.document);
	const found = findServicePolicy(documents, serviceName);
	if (found !== undefined) {
		parts.services.set(serviceName, found);
	}

	return found;
}

async function changeThroughTable(
	{options, state}: Parts,
	change: Change,
): Promise<Result<AcceptedChange, ChangeError>> {
	const {table, wallClock} = options;
	if (table === undefined) {
		return err(createNoTable());
	}

	const highestKnownVersion = Math.max(
		getAppliedVersion(state.applied, change.team),
		state.pendingVersions.get(change.team)?.version ?? 0,
	);
	return acceptChange(change, {table, highestKnownVersion, clock: wallClock});
}

function createNoTable(): ChangeError {
	const message =
		'this node knows no table; name the platform in its settings, or ask another node';
	return {kind: changeErrorKinds.storeUnavailable, message};
}
