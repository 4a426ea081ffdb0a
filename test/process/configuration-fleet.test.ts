/** Configuration changes in a fleet of node processes, with conflicting operators and table faults. */
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {createDocumentText} from '../support/configuration.js';
import {sendCall} from '../support/http.js';
import {
	sendAdministrationRequest,
	readVersion,
	restartNode,
	startFleet,
	waitForVersion,
	type ConfigurationFleet,
	type FleetNode,
} from './configuration-support.js';

const fleetSize = 12;
const failureDomains = 3;
const propagationBoundMilliseconds = 6000;
const startBoundMilliseconds = 20_000;
const exitBoundMilliseconds = 15_000;
const sampleMilliseconds = 100;

async function apply(
	node: FleetNode,
	changeId: string,
	expectedVersion: number,
	text = createDocumentText('darkrooms'),
) {
	return sendAdministrationRequest(node, 'PUT', '/v1/configuration', {
		headers: {
			'foxtailtide-change-id': changeId,
			'foxtailtide-expected-version': String(expectedVersion),
		},
		body: text,
	});
}

/** Samples the state dumps until stopped, and returns each observed decrease of a version. */
function watchVersions(nodes: readonly FleetNode[]) {
	const highest = new Map<string, number>();
	const reverted: string[] = [];
	const stopping = new AbortController();
	const watching = (async () => {
		while (!stopping.signal.aborted) {
			for (const node of nodes) {
				const version = (await readVersion(node)) ?? 0;
				const known = highest.get(node.nodeId) ?? 0;
				// A node that has just started has no configuration and refuses calls as not ready.
				if (version !== 0 && version < known) {
					reverted.push(`${node.nodeId} from ${known} to ${version}`);
				}

				highest.set(node.nodeId, Math.max(version, known));
			}

			await sleep(sampleMilliseconds);
		}
	})();
	return async () => {
		stopping.abort();
		await watching;
		return reverted;
	};
}

async function countReady(fleet: ConfigurationFleet): Promise<number> {
	const answers = await Promise.all(
		fleet.nodes.map(async node => sendAdministrationRequest(node, 'GET', '/readyz')),
	);
	return answers.filter(({status}) => status === 200).length;
}

test('a fleet applies its configuration despite conflicting changes, lost responses, outages and restarts', async context => {
	const fleet = await startFleet(context, fleetSize, failureDomains);
	const [first, second, third] = fleet.nodes as [FleetNode, FleetNode, FleetNode];

	await context.test(
		'without a configuration no node is ready and no call runs',
		async () => {
			expect(await countReady(fleet)).toEqual(0);
			const answer = await sendCall({port: first.dataPort, service: 'booking'});
			expect([answer.status, answer.outcome]).toEqual([503, 'not-run']);
		},
	);

	await context.test(
		'the administration API is not served on the data listener',
		async () => {
			const path = '/v1/state';
			const answer = await sendCall({port: first.dataPort, service: 'booking', path});
			expect([answer.status, answer.outcome]).toEqual([503, 'not-run']);
		},
	);

	await context.test(
		'the first document is applied and makes every node ready',
		async () => {
			const applied = await apply(first, 'first', 0);
			expect([applied.status, applied.json.version]).toEqual([200, 1]);
			await waitForVersion(fleet.nodes, 1, startBoundMilliseconds);
			const answer = await sendCall({port: second.dataPort, service: 'booking'});
			expect(answer.outcome).toEqual('not-run');
		},
	);

	const stopWatching = watchVersions(fleet.nodes);

	await context.test(
		'one of two concurrent changes is accepted and applied in time',
		async () => {
			const answers = await Promise.all([
				apply(first, 'ada', 1),
				apply(second, 'ben', 1),
			]);
			const statuses = answers
				.map(({status}) => status)
				.toSorted((left, right) => left - right);
			expect(statuses).toEqual([200, 409]);
			await waitForVersion(fleet.nodes, 2, propagationBoundMilliseconds);
		},
	);

	await context.test(
		'a change whose response from the table was lost is reported as accepted, once',
		async () => {
			const losses = {
				answersLost: {count: 1},
				methods: ['PUT'],
				keyPrefix: 'configuration/',
			};
			await fleet.setFaults(losses);
			const applied = await apply(third, 'lost', 2);
			const repeated = await apply(first, 'lost', 2);
			await fleet.setFaults({});
			expect([applied.status, applied.json.version]).toEqual([200, 3]);
			expect([repeated.status, repeated.json.version]).toEqual([200, 3]);
			await waitForVersion(fleet.nodes, 3, propagationBoundMilliseconds);
		},
	);

	await context.test('an invalid document is refused as a whole', async () => {
		const bad = `${createDocumentText('darkrooms')}more: 1\n`;
		const refused = await apply(first, 'bad', 3, bad);
		expect(refused.status).toEqual(422);
		expect(await readVersion(first)).toEqual(3);
	});

	await context.test(
		'with the table down nothing changes, and a restarted node recovers its configuration',
		async () => {
			await fleet.setFaults({outage: 'refuses'});
			const refused = await apply(first, 'down', 3);
			expect(refused.status).toEqual(503);
			await restartNode(context, third);
			await waitForVersion([third], 3, startBoundMilliseconds);
			await fleet.setFaults({});
			const accepted = await apply(first, 'down', 3);
			expect([accepted.status, accepted.json.version]).toEqual([200, 4]);
			await waitForVersion(fleet.nodes, 4, propagationBoundMilliseconds);
		},
	);

	await context.test(
		'a frozen node applies the newest version after it resumes',
		async () => {
			second.process.signal('SIGSTOP');
			await apply(first, 'frozen', 4);
			const others = fleet.nodes.filter(node => node !== second);
			await waitForVersion(others, 5, propagationBoundMilliseconds);
			second.process.signal('SIGCONT');
			await waitForVersion([second], 5, propagationBoundMilliseconds);
		},
	);

	await context.test('the status reports the newest version at every node', async () => {
		const {json} = await sendAdministrationRequest(
			third,
			'GET',
			'/v1/configuration/status',
		);
		expect([json.newestVersion, json.isEverywhere]).toEqual([5, true]);
	});

	await context.test(
		'a change whose node died after writing it is picked up from the table',
		async () => {
			await fleet.rewriteRow('configuration/darkrooms', value => {
				const stored = JSON.parse(value) as {version: number};
				return JSON.stringify({...stored, version: 6});
			});
			await waitForVersion(fleet.nodes, 6, propagationBoundMilliseconds);
		},
	);

	const reverted = await stopWatching();
	expect(reverted).toEqual([]);

	await context.test('a drain through the API ends the process cleanly', async () => {
		const {status} = await sendAdministrationRequest(first, 'POST', '/v1/drain');
		expect(status).toEqual(202);
		const ended = await Promise.race([first.process.ended, sleep(exitBoundMilliseconds)]);
		expect(ended).toEqual(0);
	});
});
