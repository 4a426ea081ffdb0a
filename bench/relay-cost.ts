/**
 * Processor time of relay nodes, real processes on loopback with the options of `deploy/system.toml`:
 * of a start, of a node without requests, and of a request over all nodes, beyond the idle time.
 *
 * Usage: npm run bench:relay -- [nodes] [idleSeconds] [requestsPerSecond] [loadSeconds]
 */
import {randomBytes} from 'node:crypto';
import {readFileSync} from 'node:fs';
import {Agent} from 'node:http';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	sendNodeRequest,
	startRelayMesh,
	type RelayMesh,
} from '../test/support/relay-mesh.js';
import {readProcessUsage} from './process-usage.js';

const [nodeCount = 2, idleSeconds = 20, requestsPerSecond = 100, loadSeconds = 10] =
	process.argv.slice(2).map(Number);
/** Heartbeat interval of servers on the platform. */
const heartbeatMilliseconds = 1500;
/** Work of the just-in-time compiler and of joining is over after this time. */
const warmUpMilliseconds = 5000;
const workMilliseconds = 20;
const millisecondsPerSecond = 1000;
const cleaners: Array<() => Promise<void> | void> = [];
const cleaner = {
	after(clean: () => Promise<void> | void) {
		cleaners.push(clean);
	},
};

/** Reads the options of Node.js from the deploy file, without its heap limit for small VMs. */
function readNodeFlags(): string[] {
	const file = path.resolve(import.meta.dirname, '../deploy/system.toml');
	const run = /^run = "node (?<flags>.*?) target\//mv.exec(readFileSync(file, 'utf8'));
	return run!.groups!.flags!.split(' ');
}

function processorMilliseconds({nodes}: RelayMesh): number {
	const ids = nodes.map(({child}) => child.pid!);
	return readProcessUsage(ids).cpuSeconds * millisecondsPerSecond;
}

async function sendLoad({nodes}: RelayMesh): Promise<number> {
	const agent = new Agent({keepAlive: true});
	const total = requestsPerSecond * loadSeconds;
	const startedAt = performance.now();
	const pending: Array<Promise<number>> = [];
	for (let index = 0; index < total; index += 1) {
		const wait = startedAt + (index * millisecondsPerSecond) / requestsPerSecond;
		if (wait > performance.now() + 1) {
			await sleep(wait - performance.now());
		}

		const {callersPort} = nodes[index % nodes.length]!;
		const headers = {'x-request-id': randomBytes(8).toString('hex')};
		const answer = sendNodeRequest(callersPort, '/search/bays', {headers, agent});
		pending.push(answer.then(({status}) => status));
	}

	const statuses = await Promise.all(pending);
	agent.destroy();
	return statuses.filter(status => status === 200).length;
}

const mesh = await startRelayMesh(cleaner, nodeCount, workMilliseconds, {
	nodeFlags: readNodeFlags(),
	heartbeatMilliseconds,
});
const atStart = processorMilliseconds(mesh);
await sleep(warmUpMilliseconds);
const beforeIdle = processorMilliseconds(mesh);
await sleep(idleSeconds * millisecondsPerSecond);
const idle = processorMilliseconds(mesh) - beforeIdle;
const idlePerSecond = idle / idleSeconds;
const beforeLoad = processorMilliseconds(mesh);
const loadStartedAt = performance.now();
const served = await sendLoad(mesh);
const loadedSeconds = (performance.now() - loadStartedAt) / millisecondsPerSecond;
const load = processorMilliseconds(mesh) - beforeLoad - idlePerSecond * loadedSeconds;
const requests = requestsPerSecond * loadSeconds;
console.log(
	`${nodeCount} nodes: start ${(atStart / nodeCount).toFixed(0)} ms a node; idle ${(idlePerSecond / nodeCount).toFixed(1)} ms a second and node; ` +
		`${(load / requests).toFixed(2)} ms a request over all nodes (${served} of ${requests} served)`,
);
for (const clean of cleaners.toReversed()) {
	await clean();
}
