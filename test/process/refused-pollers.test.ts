/** Changes reach all nodes in time while the store refuses the very nodes that poll it. */
import {test, type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {
	cuts,
	startLinkProxy,
	type Cut,
	type LinkProxy,
} from '../../stand-ins/network/link-proxy.js';
import {isPoller, memberStatuses} from '../../src/membership/index.js';
import {
	createConfiguration,
	sendNodeRequest,
	startRelayMesh,
	type RelayMesh,
} from '../support/relay-mesh.js';

const nodeCount = 6;
/** A change is in force this long after its confirmation at a node in touch with the store. */
const configurationMilliseconds = 3000;
/** An evacuation is in force this long after its confirmation. */
const evacuationMilliseconds = 5000;
/** A started node becomes a poller after this time. */
const pollerDelayMilliseconds = 2500;

async function startMeshWithRefusedPollers(context: TestContext, cut: Cut) {
	const links: LinkProxy[] = [];
	const mesh = await startRelayMesh(context, nodeCount, 30, {
		async choosePort(_index, targetPort) {
			const link = await startLinkProxy({host: '127.0.0.1', port: 0, targetPort});
			context.after(async () => link.close());
			links.push(link);
			return link.port;
		},
	});
	await sleep(pollerDelayMilliseconds);
	const members = links.map((_link, index) => ({
		nodeId: `node-${index}`,
		failureDomain: `coast-${index % 2}`,
		status: memberStatuses.alive,
	}));
	const pollers = members.filter(self => isPoller(self, members, 1));
	for (const {nodeId} of pollers) {
		links[Number(nodeId.split('-')[1])]!.setQuality({cut});
	}

	return {mesh, pollers: pollers.map(({nodeId}) => nodeId)};
}

async function listStatuses({nodes}: RelayMesh, path: string): Promise<number[]> {
	const responses = await Promise.all(
		nodes.map(async ({callersPort}, index) =>
			sendNodeRequest(callersPort, path, {headers: {'x-request-id': `call-${index}`}}),
		),
	);
	return responses.map(({status}) => status);
}

async function listEvacuated({nodes}: RelayMesh): Promise<string[][]> {
	return Promise.all(
		nodes.map(async ({metricsPort}) => {
			const {body} = await sendNodeRequest(metricsPort, '/state');
			return (JSON.parse(body) as {evacuatedDomains: string[]}).evacuatedDomains;
		}),
	);
}

for (const cut of [cuts.reset, cuts.silent]) {
	test(`changes are in force in time although the store is lost to every poller (${cut})`, async context => {
		const {mesh, pollers} = await startMeshWithRefusedPollers(context, cut);
		expect(pollers.length).toEqual(2);
		mesh.store.putConfiguration(createConfiguration(2, '/added/'));
		mesh.store.putEvacuation('coast-1');
		await sleep(configurationMilliseconds);
		expect(await listStatuses(mesh, '/added/1')).toEqual(mesh.nodes.map(() => 200));
		await sleep(evacuationMilliseconds - configurationMilliseconds);
		expect(await listEvacuated(mesh)).toEqual(mesh.nodes.map(() => ['coast-1']));
	});
}
