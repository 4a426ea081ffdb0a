/** Starts and stops the demo's processes, and runs commands. */
import {execFile, spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';

/** Directory of the demo bundle and of the bundles that it starts. */
const directory = path.dirname(process.argv[1] ?? '.');
const exitTimeoutMilliseconds = 15_000;

/** A running process, with the ports that it printed. */
export type DemoProcess = {
	readonly ports: Readonly<Record<string, number>>;
	/** Stops the process gracefully and waits until it has exited. */
	readonly stop: () => Promise<void>;
};

/**
 * Starts a bundled program and waits until it prints its ports as a line of JSON.
 *
 * @param program name of the bundle
 * @param parameters command-line arguments
 * @returns the process, listening
 */
export async function startProcess(
	program: string,
	parameters: readonly string[],
): Promise<DemoProcess> {
	const bundle = path.join(directory, `${program}.cjs`);
	const child = spawn(process.execPath, [bundle, ...parameters], {
		stdio: ['ignore', 'pipe', 'ignore'],
	});
	const exited = once(child, 'exit');
	const lines = createInterface({input: child.stdout});
	const firstLine: unknown = await Promise.race([once(lines, 'line'), exited]);
	const ports = readPorts(firstLine);
	if (ports === undefined) {
		throw new Error(
			`${program} exited before it listened: run it by hand to see its error output`,
		);
	}

	return {
		ports,
		async stop() {
			await stopChild(child, exited);
		},
	};
}

function readPorts(firstLine: unknown): Record<string, number> | undefined {
	const line: unknown = Array.isArray(firstLine) ? firstLine[0] : undefined;
	if (typeof line !== 'string') {
		return undefined;
	}

	return JSON.parse(line) as Record<string, number>;
}

/** Sends SIGTERM, then SIGKILL after a timeout, so that the demo leaves no process behind. */
async function stopChild(child: ChildProcess, exited: Promise<unknown>): Promise<void> {
	const timer = setTimeout(() => child.kill('SIGKILL'), exitTimeoutMilliseconds);
	child.kill('SIGTERM');
	await exited;
	clearTimeout(timer);
}

/**
 * Runs a foxtailtide command until it exits.
 *
 * @param environment variables with the address of the administration listener and the token
 * @param parameters command-line arguments
 * @returns the standard output
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
