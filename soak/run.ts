/**
 * One run of the soak: starts nodes and callers, injects the faults of a seed, and waits until
 * every node serves again. Then checks what callers and servers recorded against the guarantees.
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
	readonly faultPeriodMilliseconds: number;
	readonly callersPerNode: number;
};

export type SoakResult = {
	readonly findings: readonly string[];
	readonly requests: number;
	readonly served: number;
	readonly faults: number;
	/** Folder with the logs of the nodes; removed when there are no findings. */
	readonly folder: string;
};

/** Limits that the checks enforce; users require them of the smaller deployments. */
const bounds: Bounds = {
	maximumAttempts: 2,
	drainMilliseconds,
	limitContactMilliseconds: 3000,
	retryRatio: 0.2,
	retrySlack: 58,
	propagationMilliseconds: 2000,
	settleMilliseconds: 3000,
	overdueMilliseconds: 500,
	deadlineMilliseconds,
};
/** Time after the last fault in which every node must serve again. */
const recoveryMilliseconds = 15_000;
const startupMilliseconds = 20_000;
const pollMilliseconds = 100;
/** Measuring budget of a node, in bytes per second; the default of its settings. */
const measuringBytesPerSecond = 16_384;

/**
 * Runs one seed.
 *
 * @param options seed and size of the run
 * @returns the findings, and the numbers of requests and disturbances
 */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
	const startedAt = performance.now();
	const now = (): number => Math.round(performance.now() - startedAt);
	const folder = mkdtempSync(path.join(tmpdir(), `foxtailtide-soak-${options.seed}-`));
	const findings: string[] = [];
	const cleanups: Array<() => Promise<void> | void> = [];
	try {
		const evidence = await executeRun(options, {now, folder, findings, cleanups});
		findings.push(...findViolations(evidence, bounds));
		return {
			findings,
			requests: evidence.requests.length,
			served: evidence.requests.filter(({status}) => status === 200).length,
			faults: evidence.disturbances.length,
			folder,
		};
	} finally {
		for (const clean of cleanups.toReversed()) {
			await clean();
		}

		if (findings.length === 0) {
			rmSync(folder, {recursive: true, force: true});
		}
	}
}

type RunContext = {
	readonly now: () => number;
	readonly folder: string;
	readonly findings: string[];
	readonly cleanups: Array<() => Promise<void> | void>;
};

async function executeRun(options: SoakOptions, context: RunContext): Promise<Evidence> {
	const {now, findings} = context;
	const random = createRandom(options.seed + 1);
	const environment = await startEnvironment(options, context, random);
	await waitUntilServing(environment.nodes, startupMilliseconds, findings, 'start');
	const callers = startCallers({
		nodes: environment.nodes,
		callersPerNode: options.callersPerNode,
		random,
		now,
		version: () => environment.versions.at(-1)?.version ?? 1,
	});
	const schedule = generateSchedule(
		options.seed,
		options.nodes,
		options.faultPeriodMilliseconds,
	);
	await Promise.all(
		schedule.faults.map(async fault => {
			await pause(fault.at);
			await injectFault(environment, fault);
		}),
	);
	await waitUntilServing(environment.nodes, recoveryMilliseconds, findings, 'recovery');
	await pause(bounds.settleMilliseconds);
	storeNextVersion(environment);
	await pause(bounds.propagationMilliseconds + bounds.settleMilliseconds / 2);
	await checkMeasuringBudget(environment.nodes, now(), findings);
	await callers.stop();
	return {
		requests: callers.requests,
		runs: environment.nodes.flatMap(node => node.runs()),
		drains: environment.nodes.flatMap(({drains}) => drains),
		limits: environment.limits,
		versions: environment.versions,
		disturbances: environment.disturbances,
		isPlanned: schedule.isPlanned,
	};
}

async function startEnvironment(
	options: SoakOptions,
	{now, folder, findings, cleanups}: RunContext,
	random: () => number,
): Promise<SoakEnvironment> {
	const store = createStandInStore();
	store.putConfiguration(createConfiguration(1));
	const copies = [{copy: store.takeCopy(), at: now()}];
	const storePort = await listenOnFreePort(
		{after: clean => cleanups.push(clean)},
		store.server,
	);
	const common: Omit<SoakNodeOptions, 'index'> = {
		storePort,
		folder,
		random,
		now,
		onFinding(finding) {
			findings.push(`${finding}, at ${now()} ms`);
		},
	};
	const nodes: SoakNode[] = [];
	for (let index = 0; index < options.nodes; index += 1) {
		const node = await startSoakNode({...common, index});
		cleanups.push(node.close);
		nodes.push(node);
	}

	return {nodes, store, now, versions: [], disturbances: [], limits: [], copies};
}

/** Waits until every node serves an idempotent request; adds a finding for each that does not. */
async function waitUntilServing(
	nodes: readonly SoakNode[],
	milliseconds: number,
	findings: string[],
	phase: string,
): Promise<void> {
	const deadline = performance.now() + milliseconds;
	const pending = new Set(nodes);
	for (let round = 0; pending.size > 0 && performance.now() < deadline; round += 1) {
		await Promise.all(
			[...pending].map(async node => {
				const {status} = await sendNodeRequest(node.callersPort, '/search/1', {
					headers: {
						'x-request-id': `${phase}-${node.index}-${round}`,
					},
				});
				if (status === 200) {
					pending.delete(node);
				}
			}),
		);
		await pause(pollMilliseconds);
	}

	for (const {index} of pending) {
		findings.push(`${phase}: node-${index} does not serve after ${milliseconds} ms`);
	}
}

/** Adds a finding for each node that spent more on measuring than its budget for the run. */
async function checkMeasuringBudget(
	nodes: readonly SoakNode[],
	elapsedMilliseconds: number,
	findings: string[],
): Promise<void> {
	for (const node of nodes) {
		const {body} = await sendNodeRequest(node.metricsPort, '/metrics');
		let bytes = 0;
		for (const [, use, value] of body.matchAll(
			/^foxtailtide_measuring_bytes_total\{use="(\w+)"\} (\d+)/gmv,
		)) {
			bytes += use === 'refused' ? 0 : Number(value);
		}

		if (bytes > measuringBytesPerSecond * (elapsedMilliseconds / 1000 + 1)) {
			findings.push(`measuring: node-${node.index} spent ${bytes} bytes`);
		}
	}
}
