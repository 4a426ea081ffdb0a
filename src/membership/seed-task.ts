/** Task that reads the seeds from the platform's table and maintains this node's seed row. */
import {Duration, Effect, Queue} from 'effect';
import {type MembershipOptions} from './membership.js';
import {type Address} from './message.js';
import {
	chooseSeedReadDelay,
	chooseSeedRowCheckDelay,
	chooseSeedRowDelay,
	chooseSeedRow,
	parseSeedAddress,
} from './seeds.js';
import {type MembershipEvent, type MembershipState} from './state.js';

const tableTimeout = Duration.seconds(5);

type SeedTask = {
	readonly options: MembershipOptions;
	/** Seeds from the settings; always used. */
	readonly settingsSeeds: readonly Address[];
	/** The state of membership; the task does not change it. */
	readonly state: Readonly<MembershipState>;
	/** Receives the seeds that were read. */
	readonly offer: (event: MembershipEvent) => void;
	/** Requests to check the seed row soon. */
	readonly seedRowChecks: Queue.Dequeue<void>;
	/** Whether the table held addresses of other nodes when it was last read. */
	hasRows: boolean;
};

/**
 * Reads and writes seed rows until interrupted.
 *
 * @param task the task
 * @returns an effect that ends only when there is no table to read or write
 */
export function runSeedTask(task: SeedTask): Effect.Effect<void> {
	const loops = Effect.all([readPeriodically(task), writePeriodically(task)], {
		concurrency: 'unbounded',
		discard: true,
	});
	return readRows(task).pipe(Effect.zipRight(loops));
}

function readPeriodically(task: SeedTask): Effect.Effect<void> {
	const {readSeeds, random} = task.options;
	if (readSeeds === undefined) {
		return Effect.void;
	}

	return Effect.gen(function* () {
		for (let attempt = 0; ; attempt += 1) {
			const hasPeers = task.state.roster.peers.length > 0;
			yield* Effect.sleep(chooseSeedReadDelay(attempt, hasPeers, random));
			yield* readRows(task);
		}
	});
}

function readRows(task: SeedTask): Effect.Effect<void> {
	const {readSeeds} = task.options;
	if (readSeeds === undefined) {
		return Effect.void;
	}

	return Effect.gen(function* () {
		const texts = yield* queryTable(readSeeds);
		if (texts !== undefined) {
			const rows = parseRows(texts, task.state);
			task.hasRows = rows.length > 0;
			const seeds = [...task.settingsSeeds, ...rows];
			task.offer({kind: 'seeds', seeds});
		}
	});
}

function writePeriodically(task: SeedTask): Effect.Effect<void> {
	const {writeSeed, random} = task.options;
	if (writeSeed === undefined) {
		return Effect.void;
	}

	return Effect.gen(function* () {
		while (true) {
			const hasPeers = task.state.roster.peers.length > 0;
			const delay = Effect.sleep(chooseSeedRowDelay(hasPeers, task.hasRows, random));
			yield* Effect.race(delay, awaitCheckRequest(task));
			const row = chooseSeedRow(task.state.self.member, listMembers(task.state));
			if (row !== undefined) {
				yield* queryTable(async () => writeSeed(row));
			}
		}
	});
}

/** Many nodes get such a request at the same time, so their checks are spread. */
function awaitCheckRequest({seedRowChecks, options}: SeedTask): Effect.Effect<void> {
	return Queue.take(seedRowChecks).pipe(
		Effect.zipRight(
			Effect.suspend(() => Effect.sleep(chooseSeedRowCheckDelay(options.random))),
		),
	);
}

/** Returns undefined when the table fails or times out: seeds are hints and are requested again. */
function queryTable<Answer>(
	request: () => Promise<Answer>,
): Effect.Effect<Answer | undefined> {
	return Effect.tryPromise(request).pipe(
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
