// Linter settings; the import boundaries are defined in tools/imports.js.
import jsdoc from "eslint-plugin-jsdoc";
import tseslint from "typescript-eslint";

import { boundaryConfigs } from "./tools/imports.js";

export default tseslint.config(
    { ignores: ["**/dist/**", "**/node_modules/**", "bench/report/**", "target/**"] },
    {
        files: ["**/*.ts"],
        extends: [...tseslint.configs.recommendedTypeChecked],
        plugins: { jsdoc },
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        rules: {
            "@typescript-eslint/consistent-type-imports": ["error", { fixStyle: "separate-type-imports" }],
            "@typescript-eslint/explicit-function-return-type": "off",
            "@typescript-eslint/no-import-type-side-effects": "error",
            "@typescript-eslint/only-throw-error": "off",
            "@typescript-eslint/prefer-promise-reject-errors": "off",
            "@typescript-eslint/require-await": "off",
            "@typescript-eslint/switch-exhaustiveness-check": "error",
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"], custom: { regex: "^I[A-Z][a-z]", match: false } },
                { selector: "variable", format: ["camelCase"], leadingUnderscore: "allow" },
                { selector: "function", format: ["camelCase"] },
            ],
            "no-restricted-syntax": [
                "error",
                { selector: "ImportSpecifier[importKind='type']", message: "Keep type imports apart: use import type." },
                { selector: "TSNullKeyword", message: "Use undefined instead of null." },
            ],
            "@typescript-eslint/no-floating-promises": [
                "error",
                { allowForKnownSafeCalls: [{ from: "package", package: "node:test", name: ["it", "describe", "before", "after"] }] },
            ],
            "curly": "error",
            "eqeqeq": "error",
            "func-style": "off",
            "max-lines": ["error", { max: 350 }],
            "max-len": ["error", { code: 160, ignoreTemplateLiterals: true }],
            "no-var": "error",
            "prefer-const": "error",
            "prefer-arrow-callback": "error",
            "jsdoc/require-jsdoc": [
                "error",
                {
                    publicOnly: true,
                    contexts: ["ClassDeclaration", "ArrowFunctionExpression", "TSInterfaceDeclaration"],
                    require: { FunctionDeclaration: false },
                },
            ],
        },
    },
    ...boundaryConfigs,
);
