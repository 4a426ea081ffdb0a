/**
 * The task that owns a node's configuration. Everything that happens reaches it as an event in
 * one queue; what the follower decides is carried out beside it and told as further events.
 */
import {Duration, Effect, Queue, Schedule, type Scope} from 'effect';
import {err, type Result} from 'neverthrow';
import {acceptChange, readConfiguration, type Acceptance} from './acceptance.js';
import {changeErrorKinds, type Change, type ChangeError} from './change.js';
import type {Configuration, ConfigurationOptions} from './configuration.js';
import {findService, type FoundService} from './document.js';
import {describeFollower} from './dump.js';
import {carryOut, type ConfigurationEvent} from './effects.js';
import {
	createFollower,
	type FollowerEffect,
	type FollowerState,
} from './follower-state.js';
import {
	hear,
	noteFetchFailure,
	noteStoreFailure,
	takeDocument,
	takePeerAnswer,
	takeStoreRows,
	tick,
} from './follower.js';
import {heldVersion, type Held} from './holding.js';
import {createPeerService, type PeerService} from './peer-service.js';
import {findWait} from './readiness.js';
import {configurationKeyPrefix, createOffer, toTeam} from './stored.js';
import {createSurroundingsView, type SurroundingsView} from './surroundings.js';

const tickMilliseconds = 100;

type Parts = {
	readonly options: ConfigurationOptions;
	readonly state: FollowerState;
	readonly peerService: PeerService;
	readonly surroundings: SurroundingsView;
	readonly listeners: Array<(held: Held) => void>;
	readonly services: Map<string, FoundService | undefined>;
	held: readonly Held[];
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
				const head = {team: toTeam(topic), version};
				queue.unsafeOffer({kind: 'heard', head, nodeId});
			}
		});
		const start = (effect: FollowerEffect) =>
			Effect.promise(async () => carryOut(effect, parts.state, options)).pipe(
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
		surroundings: createSurroundingsView(options),
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
			return hear(state, [event.head], {kind: 'peer', nodeId: event.nodeId}, now);
		}

		case 'storeRows': {
			if (event.rows === undefined) {
				noteStoreFailure(state);
				return [];
			}

			takeStoreRows(state, event.rows, now);
			return [];
		}

		case 'peerAnswer': {
			return takePeerAnswer(state, event.answer, now);
		}

		case 'fetched': {
			if (event.offer === undefined) {
				noteFetchFailure(state, event.head.team, now);
				return [];
			}

			return takeDocument(state, event.offer, event.source.kind, times);
		}

		case 'accepted': {
			return takeDocument(state, event.offer, 'store', times);
		}
	}
}

function putInForce(parts: Parts, team: string): void {
	const {holding} = parts.state;
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
	parts.peerService.release(team);
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
		held: () => parts.held,
		find: serviceName => findCached(parts, serviceName),
		subscribe(listener) {
			parts.listeners.push(listener);
		},
		wait: () => findWait(state, parts.surroundings()),
		async change(change) {
			const result = await changeThroughTable(parts, change);
			if (result.isOk()) {
				const {stored, rowVersion} = result.value;
				tell({kind: 'accepted', offer: createOffer(stored, rowVersion)});
			}

			return result;
		},
		async readStored(team) {
			const {table} = options;
			return table === undefined ? err(createNoTable()) : readConfiguration(table, team);
		},
		async askHeads(member) {
			const comparison = await options.peers.compare(member, '');
			return comparison?.heads;
		},
		service: parts.peerService.service,
		counters: () => state.counters,
		dump: () => describeFollower(state, parts.surroundings()),
	};
}

/** Names that no document knows come from callers, so only known ones are kept. */
function findCached(parts: Parts, serviceName: string): FoundService | undefined {
	const cached = parts.services.get(serviceName);
	if (cached !== undefined) {
		return cached;
	}

	const documents = parts.held.map(held => held.document);
	const found = findService(documents, serviceName);
	if (found !== undefined) {
		parts.services.set(serviceName, found);
	}

	return found;
}

async function changeThroughTable(
	{options, state}: Parts,
	change: Change,
): Promise<Result<Acceptance, ChangeError>> {
	const {table, wallClock} = options;
	if (table === undefined) {
		return err(createNoTable());
	}

	const highestKnownVersion = Math.max(
		heldVersion(state.holding, change.team),
		state.heard.get(change.team)?.version ?? 0,
	);
	return acceptChange(change, {table, highestKnownVersion, clock: wallClock});
}

function createNoTable(): ChangeError {
	const message =
		'this node knows no table; name the platform in its settings, or ask another node';
	return {kind: changeErrorKinds.storeUnavailable, message};
}
