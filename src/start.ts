/**
 * Starts the program with the V8 code cache created by the build. If V8 rejects the cache, for
 * example under another release of Node.js, the program is compiled as usual.
 */
import {readFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import path from 'node:path';
import process from 'node:process';
import {Script} from 'node:vm';

/** Arguments of a CommonJS module wrapper: exports, require, module, file name, directory. */
type ModuleArguments = readonly [unknown, NodeJS.Require, unknown, string, string];

const directory = path.dirname(process.argv[1]!);
const filename = path.join(directory, 'program.cjs');
const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(filename, 'utf8')}\n})`;
const script = new Script(source, {
	filename: 'target/program.cjs',
	cachedData: readFileSync(path.join(directory, 'program.cache')),
});
const module = {exports: {}};
// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- The wrapper above has this type.
const run = script.runInThisContext() as (...moduleArguments: ModuleArguments) => void;
run(module.exports, createRequire(filename), module, filename, directory);
