/** Public interface of the command line. */
export {exitCodes, type ExitCode} from './exit-codes.js';
export {product} from './product.js';
export {runProgram} from './program.js';
