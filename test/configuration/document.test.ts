/** Reading a document: defaults, every fault at once with its line, and the policy of a service. */
import {test} from 'node:test';
import {expect} from 'earl';
import {
	findServicePolicy,
	parseConfiguration,
	setPresetInForce,
} from '../../src/configuration/index.js';

const sound = `# committee document
team: darkrooms
inForce: ordinary
presets:
  ordinary:
    ranks:
      - {name: urgent, floorShare: 0.2}
      - {name: normal, floorShare: 0.2}
    services:
      booking: {rank: urgent, deadlineMilliseconds: 800}
  peak:
    ranks: [{name: urgent, floorShare: 1}]
    services:
      booking: {rank: urgent, deadlineMilliseconds: 400, upload: true}
    routing: {candidates: 3}
`;

test('a sound document is read with its defaults', () => {
	const document = parseConfiguration(sound)._unsafeUnwrap();
	const found = findServicePolicy([document], 'booking');
	expect(found?.service).toEqual({
		rank: 'urgent',
		deadlineMilliseconds: 800,
		idempotentMethods: ['GET', 'HEAD'],
		maximumKeyedBodyBytes: 1_048_576,
		upload: false,
	});
	expect(found?.ranks.map(rank => rank.name)).toEqual(['urgent', 'normal']);
	expect(found?.preset.routing.candidates).toEqual(16);
	expect(findServicePolicy([document], 'constructor')).toEqual(undefined);
});

test('a switch changes the preset in force and keeps the comments', () => {
	const switched = setPresetInForce(sound, 'peak');
	const document = parseConfiguration(switched)._unsafeUnwrap();
	expect(switched.includes('# committee document')).toEqual(true);
	expect(findServicePolicy([document], 'booking')?.service.deadlineMilliseconds).toEqual(
		400,
	);
});

const faultCases = [
	{
		name: 'unknown key',
		text: sound.replace('upload: true', 'uplod: true'),
		faults: [[14, 'presets.peak.services.booking.uplod']],
	},
	{
		name: 'unknown preset in force',
		text: sound.replace('inForce: ordinary', 'inForce: holiday'),
		faults: [[3, 'inForce']],
	},
	{
		name: 'floors above one',
		text: sound.replace('floorShare: 0.2', 'floorShare: 0.9'),
		faults: [[6, 'presets.ordinary.ranks']],
	},
	{
		name: 'rank twice',
		text: sound.replace('name: normal', 'name: urgent'),
		faults: [[8, 'presets.ordinary.ranks.1.name']],
	},
	{
		name: 'several at once, schema and rules together',
		text: sound
			.replace('team: darkrooms', 'team: Dark Rooms')
			.replace('rank: urgent, deadlineMilliseconds: 800', 'rank: calm')
			.replace('candidates: 3', 'candidates: many'),
		faults: [
			[2, 'team'],
			[10, 'presets.ordinary.services.booking.deadlineMilliseconds'],
			[10, 'presets.ordinary.services.booking.rank'],
			[15, 'presets.peak.routing.candidates'],
		],
	},
	{
		name: 'bad name of a service',
		text: sound.replace(
			'booking: {rank: urgent, deadlineMilliseconds: 800}',
			'Boo_king: {}',
		),
		faults: [[10, 'presets.ordinary.services.Boo_king']],
	},
	{
		name: 'broken syntax',
		text: sound.replace('[{name', '[{{name'),
		faults: [[12, '']],
	},
	{name: 'empty text', text: '', faults: [[1, '']]},
	{name: 'too large', text: `# ${'x'.repeat(600_000)}`, faults: [[1, '']]},
] as const;

for (const {name, text, faults} of faultCases) {
	test(`a document is refused whole: ${name}`, () => {
		const found = parseConfiguration(text)._unsafeUnwrapErr();
		for (const [line, place] of faults) {
			const match = found.find(fault => fault.line === line && fault.place === place);
			expect(match?.message.includes(';')).toEqual(true);
		}

		expect(found.length >= faults.length).toEqual(true);
	});
}
