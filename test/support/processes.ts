/**
 * Starts the bundled programs and the stand-ins as separate processes, and ends them by id when the
 * test is over.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {createServer, type Server} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {stringify} from 'yaml';

const root = path.resolve(import.meta.dirname, '../..');
const startTimeoutMilliseconds = 20_000;

export type StartedProcess<Ready> = {
	readonly child: ChildProcess;
	/** First line that the process printed, parsed as JSON. */
	readonly ready: Ready;
	readonly logs: string[];
	readonly signal: (signal: NodeJS.Signals) => void;
	/** Resolves with the exit code once the process has ended. */
	readonly ended: Promise<number | undefined>;
};

/** Registers clean-up functions, such as the context of a test. */
export type Cleaner = {readonly after: (clean: () => Promise<void> | void) => void};

/**
 * Starts a bundled program and waits for its first line of JSON.
 *
 * @param cleaner the test, which ends the process when it is over
 * @param program name of the bundle under `dist/`
 * @param parameters command-line arguments
 * @returns the process, once it is ready
 */
export async function startProcess<Ready>(
	cleaner: Cleaner,
	program: string,
	parameters: readonly string[],
): Promise<StartedProcess<Ready>> {
	const file = path.join(root, 'dist', `${program}.cjs`);
	const child = spawn(process.execPath, [file, ...parameters], {
		stdio: ['ignore', 'pipe', 'pipe'],
	});
	const ended = once(child, 'exit').then(
		([code]) => (code as number | undefined) ?? undefined,
	);
	const logs: string[] = [];
	createInterface({input: child.stderr}).on('line', line => logs.push(line));
	cleaner.after(async () => {
		child.kill('SIGKILL');
		await ended;
	});
	const lines = createInterface({input: child.stdout});
	const ready = await waitForLine(lines, program, logs);
	return {
		child,
		ready: JSON.parse(ready) as Ready,
		logs,
		signal(signal) {
			child.kill(signal);
		},
		ended,
	};
}

async function waitForLine(
	lines: ReturnType<typeof createInterface>,
	program: string,
	logs: readonly string[],
): Promise<string> {
	const signal = AbortSignal.timeout(startTimeoutMilliseconds);
	const line = once(lines, 'line', {signal}) as Promise<[string]>;
	const closed = once(lines, 'close', {signal}).then(() => {
		throw new Error(`${program} ended before it was ready:\n${logs.join('\n')}`);
	});
	const [first] = await Promise.race([line, closed]);
	return first;
}

const firstPort = 10_000;
const portsPerBlock = 100;
/** All blocks lie below the ephemeral ports of outgoing connections. */
const blockCount = 220;
let nextPort = 0;
let lastPort = 0;

/**
 * Allocates ports that no other test uses. A test process claims whole blocks of ports, and holds
 * each claim by listening on the first port of the block until the process ends.
 *
 * @param count number of ports
 * @returns the ports
 */
export async function findFreePorts(count: number): Promise<number[]> {
	const ports: number[] = [];
	while (ports.length < count) {
		if (nextPort >= lastPort) {
			await claimBlock();
		}

		if (await isFree(nextPort)) {
			ports.push(nextPort);
		}

		nextPort += 1;
	}

	return ports;
}

async function claimBlock(): Promise<void> {
	const start = process.pid % blockCount;
	for (let step = 0; step < blockCount; step += 1) {
		const claim = firstPort + ((start + step) % blockCount) * portsPerBlock;
		const server = await tryListen(claim);
		if (server) {
			server.unref();
			nextPort = claim + 1;
			lastPort = claim + portsPerBlock;
			return;
		}
	}

	throw new Error('every block of ports is in use: end other test runs first');
}

async function isFree(port: number): Promise<boolean> {
	const server = await tryListen(port);
	if (!server) {
		return false;
	}

	server.close();
	await once(server, 'close');
	return true;
}

async function tryListen(port: number): Promise<Server | undefined> {
	const server = createServer().listen(port, '127.0.0.1');
	try {
		await once(server, 'listening');
		return server;
	} catch {
		return undefined;
	}
}

/** Writes a settings file into a new temporary folder and returns its path. */
export function writeSettings(settings: unknown): string {
	const file = path.join(
		mkdtempSync(path.join(tmpdir(), 'foxtailtide-')),
		'settings.yaml',
	);
	writeFileSync(file, stringify(settings));
	return file;
}
