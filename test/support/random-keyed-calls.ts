/**
 * Sends keyed calls through nodes that are frozen, killed and cut off from their table at random
 * from a seed, and compares the outcomes reported to callers with the runs on the servers.
 */
import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';
import {book, startKeyedMesh, requestKey, type KeyedMesh} from './keys.js';
import {readJournal, type MeshNode} from './mesh.js';
import {startProcess, type Cleaner} from './processes.js';

export type RandomCallsOptions = {
	readonly keys: number;
	readonly seed: number;
	readonly callers: number;
};

export type RandomCallsReport = {
	readonly sendings: number;
	readonly told: Readonly<Record<string, number>>;
	readonly faults: Readonly<Record<string, number>>;
	readonly runs: number;
	/** Keys that ran more than once. */
	readonly doubled: readonly string[];
	/** Keys with a reported outcome that the servers' journals contradict. */
	readonly contradicted: readonly string[];
	readonly seconds: number;
};

type DrawInteger = (maximum: number) => number;
type ReportedOutcomes = Map<string, string[]>;

const tableFaults = [
	{outage: 'refuses'},
	{outage: 'hangs'},
	{answersLost: {share: 0.3}},
	{requestsLost: {share: 0.3}},
];
const deadlineMilliseconds = 1000;
const maximumSendings = 3;
const cutPauseMilliseconds = 200;

/**
 * Sends the calls while injecting faults.
 *
 * @param cleaner the test, which ends the processes when it is over
 * @param run number of keys and callers, and the seed of all random choices
 * @returns the reported outcomes and the runs
 */
export async function runRandomKeyedCalls(
	cleaner: Cleaner,
	run: RandomCallsOptions,
): Promise<RandomCallsReport> {
	const mesh = await startKeyedMesh(cleaner, {slots: 50});
	const reported: ReportedOutcomes = new Map();
	const faults: Record<string, number> = {};
	const startedAt = Date.now();
	let isOver = false;
	const injecting = injectFaults(cleaner, mesh, {
		draw: createDraw(run.seed),
		faults,
		isOver: () => isOver,
	});
	let next = 0;
	const callers = Array.from({length: run.callers}, async (_, caller) => {
		const draw = createDraw(run.seed + caller + 1);
		while (next < run.keys) {
			next += 1;
			await sendKey(mesh.nodes, draw, reported);
		}
	});
	await Promise.all(callers);
	isOver = true;
	await injecting;
	return createReport(mesh.nodes, reported, faults, (Date.now() - startedAt) / 1000);
}

function createDraw(seed: number): DrawInteger {
	const generator = xoroshiro128plus(seed);
	return maximum => unsafeUniformIntDistribution(0, maximum, generator);
}

async function sendKey(
	nodes: KeyedMesh['nodes'],
	draw: DrawInteger,
	reported: ReportedOutcomes,
): Promise<void> {
	const choose = (): MeshNode => nodes[draw(1)]!;
	const key = await chooseKey(choose, draw);
	const outcomes: string[] = [];
	reported.set(key, outcomes);
	const send = async (): Promise<void> => {
		const {outcome} = await book(choose(), key, {deadlineMilliseconds});
		outcomes.push(outcome);
		if (outcome === 'cut') {
			await sleep(cutPauseMilliseconds);
		}
	};

	const count = 1 + draw(maximumSendings - 1);
	if (draw(1) === 0) {
		await Promise.all(Array.from({length: count}, send));
		return;
	}

	for (let sending = 0; sending < count; sending += 1) {
		await send();
		await sleep(draw(50));
	}
}

/** Requests an issued key or creates one; a node that is down issues none. */
async function chooseKey(choose: () => MeshNode, draw: DrawInteger): Promise<string> {
	if (draw(2) === 0) {
		return randomUUID();
	}

	const timeout = sleep(deadlineMilliseconds, undefined);
	const key = await Promise.race([requestKey(choose()).catch(() => undefined), timeout]);
	return key ?? randomUUID();
}

type FaultOptions = {
	readonly draw: DrawInteger;
	readonly faults: Record<string, number>;
	readonly isOver: () => boolean;
};

async function injectFaults(
	cleaner: Cleaner,
	mesh: KeyedMesh,
	{draw, faults, isOver}: FaultOptions,
): Promise<void> {
	const processes = mesh.nodes.map(node => node.process);
	while (!isOver()) {
		await sleep(100 + draw(300));
		const index = draw(1);
		const target = processes[index]!;
		const kind = ['freeze', 'freeze', 'table', 'table', 'kill', 'stop'][draw(5)]!;
		faults[kind] = (faults[kind] ?? 0) + 1;
		if (kind === 'table') {
			await mesh.setTableFaults(tableFaults[draw(3)]);
			await sleep(draw(500));
			await mesh.setTableFaults({});
		} else if (kind === 'freeze') {
			target.signal('SIGSTOP');
			await sleep(draw(1500));
			target.signal('SIGCONT');
		} else {
			target.signal(kind === 'kill' ? 'SIGKILL' : 'SIGTERM');
			await Promise.race([target.ended, sleep(3000)]);
			target.signal('SIGKILL');
			await target.ended;
			const parameters = ['node', '--settings', mesh.nodes[index]!.settingsFile];
			processes[index] = await startProcess(cleaner, 'foxtailtide', parameters);
		}
	}
}

async function createReport(
	nodes: KeyedMesh['nodes'],
	reported: ReportedOutcomes,
	faults: Record<string, number>,
	seconds: number,
): Promise<RandomCallsReport> {
	const journals = await Promise.all(nodes.map(readJournal));
	const runs = new Map<string, number>();
	for (const {key} of journals.flat()) {
		runs.set(key, (runs.get(key) ?? 0) + 1);
	}

	const all = [...reported.values()].flat();
	const keys = [...reported.keys()];
	return {
		sendings: all.length,
		told: Object.fromEntries(
			[...new Set(all)].map(outcome => [
				outcome,
				all.filter(each => each === outcome).length,
			]),
		),
		faults,
		runs: keys.reduce((sum, key) => sum + (runs.get(key) ?? 0), 0),
		doubled: keys.filter(key => (runs.get(key) ?? 0) > 1),
		contradicted: keys.filter(key => contradicts(reported.get(key)!, runs.get(key) ?? 0)),
		seconds,
	};
}

function contradicts(outcomes: readonly string[], runs: number): boolean {
	const saysRan = outcomes.includes('ran');
	const saysNotRun = outcomes.every(outcome => outcome === 'not-run');
	return (saysRan && runs === 0) || (saysNotRun && runs > 0);
}
