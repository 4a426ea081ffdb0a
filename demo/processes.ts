/** Starts the demo's processes, and ends them by id. */
import {execFile, spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';

/** The demo is a bundle beside the programs that it starts. */
const directory = path.dirname(process.argv[1] ?? '.');
const endTimeoutMilliseconds = 15_000;

/** A process that printed its ports. */
export type DemoProcess = {
	readonly ports: Readonly<Record<string, number>>;
	/** Asks the process to stop as planned and waits for its end. */
	readonly stop: () => Promise<void>;
};

/**
 * Starts a bundled program and waits for the line of JSON with its ports.
 *
 * @param program name of the bundle
 * @param parameters command line
 * @returns the process, which listens
 */
export async function startProcess(
	program: string,
	parameters: readonly string[],
): Promise<DemoProcess> {
	const bundle = path.join(directory, `${program}.cjs`);
	const child = spawn(process.execPath, [bundle, ...parameters], {
		stdio: ['ignore', 'pipe', 'ignore'],
	});
	const ended = once(child, 'exit');
	const lines = createInterface({input: child.stdout});
	const first: unknown = await Promise.race([once(lines, 'line'), ended]);
	const ports = readPorts(first);
	if (ports === undefined) {
		throw new Error(`${program} ended before it listened: run it by hand to see why`);
	}

	return {
		ports,
		async stop() {
			await stopChild(child, ended);
		},
	};
}

function readPorts(first: unknown): Record<string, number> | undefined {
	const line: unknown = Array.isArray(first) ? first[0] : undefined;
	if (typeof line !== 'string') {
		return undefined;
	}

	return JSON.parse(line) as Record<string, number>;
}

/** A process that does not end in time is killed, so that the demo leaves none behind. */
async function stopChild(child: ChildProcess, ended: Promise<unknown>): Promise<void> {
	const timer = setTimeout(() => child.kill('SIGKILL'), endTimeoutMilliseconds);
	child.kill('SIGTERM');
	await ended;
	clearTimeout(timer);
}

/**
 * Runs a command of foxtailtide to its end.
 *
 * @param environment where its administration listener is, and the token
 * @param parameters command line
 * @returns what it printed
 */
export async function runCommand(
	environment: Readonly<Record<string, string>>,
	...parameters: readonly string[]
): Promise<string> {
	const bundle = path.join(directory, 'foxtailtide.cjs');
	return new Promise((resolve, reject) => {
		execFile(
			process.execPath,
			[bundle, ...parameters],
			{env: {...process.env, ...environment}},
			(error, stdout, stderr) => {
				if (error) {
					reject(new Error(`${parameters.join(' ')} failed: ${stderr}`, {cause: error}));
					return;
				}

				resolve(stdout);
			},
		);
	});
}
