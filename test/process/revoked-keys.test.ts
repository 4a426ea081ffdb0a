/** Keys that are taken away stop working within a limit at every node, with real processes. */
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {
	cuts,
	startLinkProxy,
	type LinkProxy,
} from '../../stand-ins/network/link-proxy.js';
import {
	createConfiguration,
	sendNodeRequest,
	startRelayMesh,
	waitUntilAllKnown,
	waitUntilReady,
	type RelayMesh,
} from '../support/relay-mesh.js';

const revocationMilliseconds = 5000;
/** A change is in force this long after its confirmation at a node in touch with the store. */
const configurationMilliseconds = 3000;
/** A node that has joined has a proof within this time. */
const proofMilliseconds = 2000;
/** A node that lost touch with the store accepts keys for this long at least. */
const ownedMilliseconds = revocationMilliseconds * 0.6;

function createTeamConfiguration(
	version: number,
	...keys: readonly string[]
): Record<string, unknown> {
	const tenants = [{name: 'couriers', 'api-keys': keys}];
	return {...(createConfiguration(version) as Record<string, unknown>), tenants};
}

let requests = 0;

async function listStatuses({nodes}: Pick<RelayMesh, 'nodes'>, key: string) {
	const responses = await Promise.all(
		nodes.map(async ({callersPort}) => {
			requests += 1;
			return sendNodeRequest(callersPort, '/search/1', {
				headers: {'api-key': key, 'x-request-id': `keyed-${requests}`},
			});
		}),
	);
	return responses.map(({status}) => status);
}

const options = {
	configuration: createTeamConfiguration(1, 'kept', 'taken'),
	teams: {revocationMilliseconds},
};

test('nodes without the store refuse every key within the limit, and accept again on its return', async context => {
	const mesh = await startRelayMesh(context, 3, 30, options);
	const {store, nodes} = mesh;
	await sleep(revocationMilliseconds);
	expect(await listStatuses(mesh, 'taken')).toEqual([200, 200, 200]);
	store.setUnavailable(true);
	// The operator is served while the nodes are not.
	store.putConfiguration(createTeamConfiguration(2, 'kept'));
	await sleep(revocationMilliseconds);
	expect(await listStatuses(mesh, 'taken')).toEqual([503, 503, 503]);
	expect(await listStatuses(mesh, 'kept')).toEqual([503, 503, 503]);
	expect(await listStatuses(mesh, 'unknown')).toEqual([503, 503, 503]);
	store.setUnavailable(false);
	await sleep(configurationMilliseconds);
	expect(await listStatuses(mesh, 'taken')).toEqual([401, 401, 401]);
	expect(await listStatuses(mesh, 'kept')).toEqual([200, 200, 200]);
	const text = JSON.stringify(nodes.map(({logs}) => logs));
	expect(text.includes('taken') || text.includes('kept')).toEqual(false);
});

test('a node that the store does not serve has its proof from the others', async context => {
	const links: LinkProxy[] = [];
	const mesh = await startRelayMesh(context, 3, 30, {
		...options,
		async choosePort(_index, targetPort) {
			const link = await startLinkProxy({host: '127.0.0.1', port: 0, targetPort});
			context.after(async () => link.close());
			links.push(link);
			return link.port;
		},
	});
	// Once without each node, so that the one whose turn it is to ask is among them.
	for (const link of links) {
		link.setQuality({cut: cuts.silent});
		await sleep(revocationMilliseconds + ownedMilliseconds);
		expect(await listStatuses(mesh, 'kept')).toEqual([200, 200, 200]);
		link.setQuality({cut: cuts.none});
	}

	links[0]!.setQuality({cut: cuts.reset});
	mesh.store.putConfiguration(createTeamConfiguration(2, 'kept'));
	await sleep(configurationMilliseconds);
	expect(await listStatuses(mesh, 'taken')).toEqual([401, 401, 401]);
	expect(await listStatuses(mesh, 'kept')).toEqual([200, 200, 200]);
	// A node that starts while the store does not serve it learns everything from the others.
	await mesh.nodes[0]!.restart();
	await waitUntilReady(mesh.nodes[0]!);
	await waitUntilAllKnown(mesh.nodes[0]!, mesh.nodes.length);
	await sleep(proofMilliseconds);
	expect(await listStatuses(mesh, 'kept')).toEqual([200, 200, 200]);
	for (const link of links) {
		link.setQuality({cut: cuts.silent});
	}

	await sleep(revocationMilliseconds);
	expect(await listStatuses(mesh, 'kept')).toEqual([503, 503, 503]);
});
