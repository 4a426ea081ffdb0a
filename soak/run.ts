/**
 * One run of the soak: places start, callers call, the faults of a seed strike, and after them
 * every node has to serve again. What callers and servers saw is checked against the promises.
 */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {createRandom} from '../src/load/random.js';
import {createStandInStore} from '../stand-ins/platform/store.js';
import {
	sendNodeRequest,
	createConfiguration,
	listenOnFreePort,
} from '../test/support/relay-mesh.js';
import {deadlineMilliseconds, startCallers} from './callers.js';
import {findViolations, type Bounds, type Evidence} from './checks.js';
import {generateSchedule} from './faults.js';
import {
	drainMilliseconds,
	startSoakNode,
	pause,
	type SoakNode,
	type SoakNodeOptions,
} from './soak-node.js';
import {storeNextVersion, injectFault, type SoakEnvironment} from './inject-fault.js';

export type SoakOptions = {
	readonly seed: number;
	readonly nodes: number;
	/** Time in which faults begin, in milliseconds. */
	readonly milliseconds: number;
	readonly callersPerNode: number;
};

export type SoakResult = {
	readonly findings: readonly string[];
	readonly requests: number;
	readonly served: number;
	readonly faults: number;
	/** Folder with what the nodes printed; removed when nothing was found. */
	readonly folder: string;
};

/** The bounds that the users state for the smaller deployments. */
const bounds: Bounds = {
	maximumAttempts: 2,
	drainMilliseconds,
	propagationMilliseconds: 2000,
	settleMilliseconds: 3000,
	overdueMilliseconds: 500,
	deadlineMilliseconds,
};
/** Time after the last fault in which every node has to serve again. */
const recoverMilliseconds = 15_000;
const startMilliseconds = 20_000;
const checkMilliseconds = 100;
/** Bytes that a node may spend on measuring in a second; the default of its settings. */
const measuringBytesPerSecond = 16_384;

/**
 * Plays one seed.
 *
 * @param options seed and size
 * @returns what was found, and how much was served
 */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
	const startedAt = performance.now();
	const now = (): number => Math.round(performance.now() - startedAt);
	const folder = mkdtempSync(path.join(tmpdir(), `foxtailtide-soak-${options.seed}-`));
	const findings: string[] = [];
	const cleaning: Array<() => Promise<void> | void> = [];
	try {
		const evidence = await play(options, {now, folder, faults: findings, cleaning});
		findings.push(...findViolations(evidence, bounds));
		return {
			findings,
			requests: evidence.requests.length,
			served: evidence.requests.filter(({status}) => status === 200).length,
			faults: evidence.disturbances.length,
			folder,
		};
	} finally {
		for (const clean of cleaning.toReversed()) {
			await clean();
		}

		if (findings.length === 0) {
			rmSync(folder, {recursive: true, force: true});
		}
	}
}

type Stage = {
	readonly now: () => number;
	readonly folder: string;
	readonly faults: string[];
	readonly cleaning: Array<() => Promise<void> | void>;
};

async function play(options: SoakOptions, stage: Stage): Promise<Evidence> {
	const {now, faults} = stage;
	const random = createRandom(options.seed + 1);
	const world = await openWorld(options, stage, random);
	await waitUntilServing(world.nodes, startMilliseconds, faults, 'start');
	const callers = startCallers({
		nodes: world.nodes,
		callersPerNode: options.callersPerNode,
		random,
		now,
		version: () => world.versions.at(-1)?.version ?? 1,
	});
	const schedule = generateSchedule(options.seed, options.nodes, options.milliseconds);
	await Promise.all(
		schedule.faults.map(async fault => {
			await pause(fault.at);
			await injectFault(world, fault);
		}),
	);
	await waitUntilServing(world.nodes, recoverMilliseconds, faults, 'recovery');
	await pause(bounds.settleMilliseconds);
	storeNextVersion(world);
	await pause(bounds.propagationMilliseconds + bounds.settleMilliseconds / 2);
	await checkMeasuring(world.nodes, now(), faults);
	await callers.stop();
	return {
		requests: callers.requests,
		runs: world.nodes.flatMap(place => place.runs()),
		drains: world.nodes.flatMap(({drains: leavings}) => leavings),
		versions: world.versions,
		disturbances: world.disturbances,
		isPlanned: schedule.isPlanned,
	};
}

async function openWorld(
	options: SoakOptions,
	{now, folder, faults, cleaning}: Stage,
	random: () => number,
): Promise<SoakEnvironment> {
	const store = createStandInStore();
	store.putConfiguration(createConfiguration(1));
	const storePort = await listenOnFreePort(
		{after: clean => cleaning.push(clean)},
		store.server,
	);
	const common: Omit<SoakNodeOptions, 'index'> = {
		storePort,
		folder,
		random,
		now,
		onFault(finding) {
			faults.push(`${finding}, at ${now()} ms`);
		},
	};
	const places: SoakNode[] = [];
	for (let index = 0; index < options.nodes; index += 1) {
		const place = await startSoakNode({...common, index});
		cleaning.push(place.close);
		places.push(place);
	}

	return {nodes: places, store, now, versions: [], disturbances: []};
}

/** Every node has to be ready and answer a request of each kind. */
async function waitUntilServing(
	places: readonly SoakNode[],
	milliseconds: number,
	faults: string[],
	stage: string,
): Promise<void> {
	const deadline = performance.now() + milliseconds;
	const waiting = new Set(places);
	for (let round = 0; waiting.size > 0 && performance.now() < deadline; round += 1) {
		await Promise.all(
			[...waiting].map(async place => {
				const {status} = await sendNodeRequest(place.callersPort, '/search/1', {
					headers: {
						'x-request-id': `${stage}-${place.index}-${round}`,
					},
				});
				if (status === 200) {
					waiting.delete(place);
				}
			}),
		);
		await pause(checkMilliseconds);
	}

	for (const {index} of waiting) {
		faults.push(`${stage}: node-${index} does not serve after ${milliseconds} ms`);
	}
}

/** What a node spent on measuring since its start stays within its budget for that time. */
async function checkMeasuring(
	places: readonly SoakNode[],
	elapsedMilliseconds: number,
	faults: string[],
): Promise<void> {
	for (const place of places) {
		const {body} = await sendNodeRequest(place.metricsPort, '/metrics');
		let bytes = 0;
		for (const [, use, value] of body.matchAll(
			/^foxtailtide_measuring_bytes_total\{use="(\w+)"\} (\d+)/gmv,
		)) {
			bytes += use === 'refused' ? 0 : Number(value);
		}

		if (bytes > measuringBytesPerSecond * (elapsedMilliseconds / 1000 + 1)) {
			faults.push(`measuring: node-${place.index} spent ${bytes} bytes`);
		}
	}
}
