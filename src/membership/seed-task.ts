/** The task that reads the seeds from the platform's table and keeps this node's seed row. */
import {Duration, Effect, Queue} from 'effect';
import {type MembershipOptions} from './membership.js';
import {type Address} from './message.js';
import {
	chooseSeedReadDelay,
	chooseSeedRowDelay,
	chooseSeedRow,
	parseSeedAddress,
} from './seeds.js';
import {type MembershipEvent, type MembershipState} from './state.js';

const tableTimeout = Duration.seconds(5);

type SeedTask = {
	readonly options: MembershipOptions;
	/** Seeds of the settings, which always count. */
	readonly settingsSeeds: readonly Address[];
	/** The state of membership, only read. */
	readonly state: Readonly<MembershipState>;
	/** Takes the seeds that were read. */
	readonly queue: Queue.Enqueue<MembershipEvent>;
	/** Whether the table held addresses of other nodes when it was last read. */
	hasRows: boolean;
};

/**
 * Reads and writes seed rows for as long as the node lives.
 *
 * @param view this node, its table and what it has seen there
 * @returns an effect that ends only where there is no table
 */
export function runSeedTask(view: SeedTask): Effect.Effect<void> {
	const follow = Effect.all([readPeriodically(view), writePeriodically(view)], {
		concurrency: 'unbounded',
		discard: true,
	});
	return readRows(view).pipe(Effect.zipRight(follow));
}

function readPeriodically(view: SeedTask): Effect.Effect<void> {
	const {readSeeds, random} = view.options;
	if (readSeeds === undefined) {
		return Effect.void;
	}

	return Effect.gen(function* () {
		for (let attempt = 0; ; attempt += 1) {
			const hasPeers = view.state.roster.peers.length > 0;
			yield* Effect.sleep(chooseSeedReadDelay(attempt, hasPeers, random));
			yield* readRows(view);
		}
	});
}

function readRows(view: SeedTask): Effect.Effect<void> {
	const {readSeeds} = view.options;
	if (readSeeds === undefined) {
		return Effect.void;
	}

	return Effect.gen(function* () {
		const texts = yield* queryTable(readSeeds);
		if (texts !== undefined) {
			const rows = parseRows(texts, view.state);
			view.hasRows = rows.length > 0;
			const seeds = [...view.settingsSeeds, ...rows];
			Queue.unsafeOffer(view.queue, {kind: 'seeds', seeds});
		}
	});
}

function writePeriodically(view: SeedTask): Effect.Effect<void> {
	const {writeSeed, random} = view.options;
	if (writeSeed === undefined) {
		return Effect.void;
	}

	return Effect.gen(function* () {
		while (true) {
			const hasPeers = view.state.roster.peers.length > 0;
			yield* Effect.sleep(chooseSeedRowDelay(hasPeers, view.hasRows, random));
			const row = chooseSeedRow(view.state.self.member, listMembers(view.state));
			if (row !== undefined) {
				yield* queryTable(async () => writeSeed(row));
			}
		}
	});
}

/** An answer that fails or takes too long is none: seeds are hints, and the next try comes. */
function queryTable<Answer>(
	ask: () => Promise<Answer>,
): Effect.Effect<Answer | undefined> {
	return Effect.tryPromise(ask).pipe(
		Effect.timeout(tableTimeout),
		Effect.orElseSucceed(() => undefined),
	);
}

function parseRows(
	texts: readonly string[],
	state: Readonly<MembershipState>,
): Address[] {
	const {host, controlPort} = state.self.member;
	return texts
		.map(text => parseSeedAddress(text).unwrapOr(undefined))
		.filter(address => address !== undefined)
		.filter(address => address.host !== host || address.port !== controlPort);
}

function* listMembers(state: Readonly<MembershipState>) {
	for (const {member} of state.roster.records.values()) {
		yield member;
	}
}
