/**
 * Guards against nodes that end by one odd value in the document of routes, and with them every call in hand: names are
 * written on as headers, the health path as a path, and numbers as fields of datagrams.
 */
import {test} from 'node:test';
import {expect} from 'earl';
import {
	createConfiguration,
	sendNodeRequest,
	type RelayMesh,
} from '../support/relay-mesh.js';
import {
	countServed,
	countSound,
	findHarmful,
	startWithOneServer,
	type MessageCase,
} from '../support/malformed-messages.js';

type Fields = Record<string, unknown>;
type Document = Fields & {
	hosts: Array<{paths: Fields[]}>;
	services: Fields[];
	limits: Fields;
};

const names = ['\u010D', 'a\nb', '', ' ', '\u0000', '\u{1F600}', '\uD800', 'a,b', '%'];
const numbers = [-1, 0.5, 4_294_967_296, 1e300];
const key = 'a-key';
let version = 1;
let count = 0;

async function callWithKey({nodes}: RelayMesh): Promise<void> {
	await Promise.all(
		nodes.map(async ({callersPort}) => {
			count += 1;
			await sendNodeRequest(callersPort, '/search/odd', {
				headers: {'x-request-id': `odd-${count}`, 'api-key': key},
			});
		}),
	);
}

/** Puts a changed document into force, if the nodes accept it, and calls. */
function createCase(name: string, change: (document: Document) => void): MessageCase {
	return {
		name,
		async play(mesh) {
			version += 1;
			const document = createConfiguration(version) as Document;
			change(document);
			mesh.store.putConfiguration(document);
			await new Promise(resolve => {
				setTimeout(resolve, 150);
			});
			await callWithKey(mesh);
			await callWithKey(mesh);
		},
	};
}

function createTeam(fields: Fields): (document: Document) => void {
	return document => {
		document.tenants = [{name: 'team', 'api-keys': [key], ...fields}];
	};
}

const cases = [
	...names.flatMap(name => {
		const text = JSON.stringify(name);
		return [
			createCase(`a route named ${text}`, ({hosts}) => {
				hosts[0]!.paths[0]!.name = name;
			}),
			createCase(`a service named ${text}`, ({hosts}) => {
				hosts[0]!.paths[0]!.service = name;
			}),
			createCase(`the health path ${text}`, ({services}) => {
				services[0]!['health-path'] = name;
			}),
			createCase(`the home ${text}`, ({hosts}) => {
				hosts[0]!.paths[0]!['serve-regions'] = [name, 'coast'];
			}),
			createCase(`a team named ${text}`, createTeam({name})),
		];
	}),
	...numbers.flatMap(number => [
		...['timeout-ms', 'target-latency-ms', 'priority', 'max-attempts'].map(field =>
			createCase(`${field} of ${number}`, ({hosts}) => {
				hosts[0]!.paths[0]![field] = number;
			}),
		),
		...['max-body-bytes', 'header-timeout-ms', 'idle-timeout-ms'].map(field =>
			createCase(`${field} of ${number}`, ({limits}) => {
				limits[field] = number;
			}),
		),
		...['max-conns', 'warmup-per-s'].map(field =>
			createCase(`${field} of ${number}`, ({services}) => {
				services[0]![field] = number;
			}),
		),
		...['per-s', 'burst', 'priority'].map(field =>
			createCase(
				`a team with ${field} of ${number}`,
				createTeam({'per-s': 1, [field]: number}),
			),
		),
	]),
];

test('no document of routes ends a node', async context => {
	const mesh = await startWithOneServer(context);
	expect(await findHarmful(mesh, cases)).toEqual([]);
	version += 1;
	mesh.store.putConfiguration(createConfiguration(version));
	expect(await countServed(mesh)).toEqual(countSound(mesh));
});
