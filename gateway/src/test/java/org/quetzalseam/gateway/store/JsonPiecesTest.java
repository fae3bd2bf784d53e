package org.quetzalseam.gateway.store;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class JsonPiecesTest {
    @Test
    void anObjectsValuesAreFoundWithoutBeingRead() {
        assertThat(JsonPieces.fields(" { \"a\" : {\"b\":[1,\"}\\\"]\"]} , \"c\":nonsense,\"d\":\"\\\\\" } "))
                .containsEntry("a", "{\"b\":[1,\"}\\\"]\"]}")
                .containsEntry("c", "nonsense")
                .containsEntry("d", "\"\\\\\"")
                .hasSize(3);
        assertThat(JsonPieces.fields("{}")).isEmpty();
    }

    @Test
    void aListsValuesAreFoundWithoutBeingRead() {
        assertThat(JsonPieces.elements("[1, [2,3] ,{\"a\":\"]\"},\"\\u0000\"]"))
                .containsExactly("1", "[2,3]", "{\"a\":\"]\"}", "\"\\u0000\"");
        assertThat(JsonPieces.elements("[ ]")).isEmpty();
    }

    @Test
    void valuesThatAreNestedDeeplyNeedNoStack() {
        String deep = "[".repeat(500_000) + "]".repeat(500_000);
        assertThat(JsonPieces.elements("[" + deep + ",1]")).containsExactly(deep, "1");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "", " ", "[", "]", "[1", "[1,", "[1,]", "[,1]", "[1 2]", "[1]x", "[\"a]", "[\"\\", "{}", "[[1]", "[1]]"
            })
    void whatIsNoWholeListIsRefused(String text) {
        assertThatThrownBy(() -> JsonPieces.elements(text)).isInstanceOf(UnreadableException.class);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "{",
                "}",
                "{\"a\"",
                "{\"a\":",
                "{\"a\":1",
                "{\"a\":1,}",
                "{\"a\" 1}",
                "{:1}",
                "{\"a\":}",
                "[]"
            })
    void whatIsNoWholeObjectIsRefused(String text) {
        assertThatThrownBy(() -> JsonPieces.fields(text)).isInstanceOf(UnreadableException.class);
    }
}
