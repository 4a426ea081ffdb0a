/** The store comes back from an older copy, with real processes. */
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {
	createConfiguration,
	sendNodeRequest,
	startRelayMesh,
	waitFor,
	type RelayMesh,
	type RelayNode,
} from '../support/relay-mesh.js';

/** A confirmed change is in force this long after its confirmation at a node in contact with the store. */
const configurationMilliseconds = 2000;
/** After this time without a disturbance, a node is in contact with the store. */
const contactMilliseconds = 3000;
/** Nodes that have just started do not poll until they know the other nodes. */
const pollerDelayMilliseconds = 3000;
const outageMilliseconds = 500;
/** A server that joins gets requests within this time. */
const joinMilliseconds = 4000;

function activeVersion({logs}: RelayNode): unknown {
	return logs.findLast(({message}) => message === 'routes in force')?.version;
}

function listActiveVersions({nodes}: RelayMesh): unknown[] {
	return nodes.map(node => activeVersion(node));
}

async function changeRoutes(mesh: RelayMesh, version: number): Promise<void> {
	mesh.store.putConfiguration(createConfiguration(version, `/new${version}/`));
	await waitFor(() => listActiveVersions(mesh).every(active => active === version));
}

test('a change is in force in time although it reuses the version of one that a restored store lost', async context => {
	const mesh = await startRelayMesh(context, 3);
	const {store, nodes} = mesh;
	await sleep(pollerDelayMilliseconds);
	await changeRoutes(mesh, 2);
	const copy = store.takeCopy();
	await changeRoutes(mesh, 3);
	await changeRoutes(mesh, 4);
	const lostVersion = store.version();
	store.setUnavailable(true);
	store.restore(copy);
	await sleep(outageMilliseconds);
	// The operator writes its newest change again, and the next one.
	store.putConfiguration(createConfiguration(4, '/new4/'));
	store.putConfiguration(createConfiguration(6, '/new6/'));
	expect(store.version()).toEqual(lostVersion);
	store.setUnavailable(false);
	await sleep(contactMilliseconds + configurationMilliseconds);
	expect(listActiveVersions(mesh)).toEqual([6, 6, 6]);
	const answers = await Promise.all(
		nodes.map(async ({callersPort}) =>
			sendNodeRequest(callersPort, '/new6/1', {
				headers: {'x-request-id': `after-${callersPort}`},
			}),
		),
	);
	expect(answers.map(({status}) => status)).toEqual([200, 200, 200]);
});

test('routes do not go back when the restored store holds older ones', async context => {
	const mesh = await startRelayMesh(context, 3);
	const {store, nodes} = mesh;
	await sleep(pollerDelayMilliseconds);
	const copy = store.takeCopy();
	await changeRoutes(mesh, 2);
	await changeRoutes(mesh, 3);
	store.restore(copy);
	await sleep(configurationMilliseconds);
	// One node starts while the store holds only the older routes.
	await nodes[2]!.restart();
	await waitFor(() => activeVersion(nodes[2]!) === 3);
	expect(listActiveVersions(mesh)).toEqual([3, 3, 3]);
	store.putConfiguration(createConfiguration(3, '/new3/'));
	store.putConfiguration(createConfiguration(5, '/new5/'));
	await sleep(configurationMilliseconds);
	expect(listActiveVersions(mesh)).toEqual([5, 5, 5]);
});

test('a server that joins after the store lost the rows of the nodes gets requests', async context => {
	const mesh = await startRelayMesh(context, 2);
	const {store, initialCopy} = mesh;
	const nodes = [...mesh.nodes];
	await sleep(pollerDelayMilliseconds);
	store.restore(initialCopy);
	await sleep(contactMilliseconds);
	const joined = await mesh.addNode();
	await sleep(joinMilliseconds);
	const views = await Promise.all(
		mesh.nodes.map(async ({metricsPort}) => {
			const {body} = await sendNodeRequest(metricsPort, '/state');
			const {members = []} = JSON.parse(body) as {members?: Array<{service?: string}>};
			return members.filter(({service}) => service !== undefined).length;
		}),
	);
	expect(views).toEqual([3, 3, 3]);
	// The others leave, so that each request has to go to the joined server.
	await Promise.all(nodes.map(async ({server}) => server.drain()));
	const answers = await Promise.all(
		Array.from({length: 8}, async (_, index) =>
			sendNodeRequest(nodes[index % 2]!.callersPort, '/search/1', {
				headers: {'x-request-id': `joined-${index}`},
			}),
		),
	);
	expect(answers.filter(({status}) => status !== 200)).toEqual([]);
	expect(joined.server.receivedRequests.length).toEqual(answers.length);
});
